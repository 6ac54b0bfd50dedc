package io.samphiregauge.daemon.traffic;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.samphiregauge.core.result.Result;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Headers of a caller's request, and which of them go on to a backend server. */
final class CallerHeaders {
  /** Time in milliseconds from the arrival of the request in which its answer must begin. */
  static final String DEADLINE_HEADER = "Samphire-Deadline-Ms";

  /** VM of the entry that forwarded the request. */
  static final String FORWARDED_HEADER = "Samphire-Forwarded";

  private static final long MAX_DEADLINE_MS = 86_400_000;
  // The names and values were checked when they were decoded.
  private static final HttpHeadersFactory UNVALIDATED =
      DefaultHttpHeadersFactory.headersFactory().withValidation(false);
  private static final List<CharSequence> HOP_BY_HOP =
      List.of(
          HttpHeaderNames.CONNECTION,
          "Keep-Alive",
          "Proxy-Connection",
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT,
          HttpHeaderNames.CONTENT_LENGTH,
          HttpHeaderNames.HOST);
  private static final List<CharSequence> ENTRY_ONLY =
      List.of(
          HttpHeaderNames.AUTHORIZATION,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          DEADLINE_HEADER,
          FORWARDED_HEADER);
  private static final HttpHeaders HIDDEN_FROM_ENTRIES = nameSet(HOP_BY_HOP);
  private static final HttpHeaders HIDDEN_FROM_BACKENDS =
      nameSet(HOP_BY_HOP).add(nameSet(ENTRY_ONLY));

  private CallerHeaders() {}

  static Optional<String> get(HttpHeaders headers, CharSequence name) {
    return Optional.ofNullable(headers.get(name));
  }

  /**
   * Returns what a backend server may see: neither the key nor headers for entries. The ticket goes
   * along, since a service may use it as idempotency key.
   */
  static HttpHeaders forBackend(HttpHeaders from) {
    return without(from, HIDDEN_FROM_BACKENDS);
  }

  /** Returns what another entry may see, which checks the key itself. */
  static HttpHeaders forEntry(HttpHeaders from) {
    return without(from, HIDDEN_FROM_ENTRIES);
  }

  private static HttpHeaders without(HttpHeaders from, HttpHeaders hidden) {
    HttpHeaders headers = UNVALIDATED.newHeaders();
    var all = from.iteratorCharSequence();
    while (all.hasNext()) {
      Map.Entry<CharSequence, CharSequence> header = all.next();
      if (!hidden.contains(header.getKey())) {
        headers.add(header.getKey(), header.getValue());
      }
    }
    for (String listed : from.getAll(HttpHeaderNames.CONNECTION)) {
      List.of(listed.split(",", -1)).forEach(name -> headers.remove(name.trim()));
    }
    return headers;
  }

  /** Makes a set of names that ignores their case. */
  private static HttpHeaders nameSet(List<CharSequence> names) {
    HttpHeaders set = UNVALIDATED.newHeaders();
    names.forEach(name -> set.set(name, ""));
    return set;
  }

  /** Reads the deadline as a time on the clock of the process. */
  static Result<OptionalLong> parseDeadlineMs(HttpHeaders headers, long nowMs) {
    Optional<String> text = get(headers, DEADLINE_HEADER);
    if (text.isEmpty()) {
      return Result.success(OptionalLong.empty());
    }
    boolean valid = text.get().matches("\\d{1,9}") && Long.parseLong(text.get()) <= MAX_DEADLINE_MS;
    return valid
        ? Result.success(OptionalLong.of(nowMs + Long.parseLong(text.get())))
        : Result.failed(
            EntryFailure.notRun(
                400,
                "bad_deadline",
                "The header %s is not a number of milliseconds up to %d."
                    .formatted(DEADLINE_HEADER, MAX_DEADLINE_MS)));
  }
}
