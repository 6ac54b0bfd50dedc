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

/** Reads the headers of callers' requests and filters those that are forwarded. */
final class CallerHeaders {
  /** Time limit for the start of the response, in milliseconds since the request arrived. */
  static final String DEADLINE_HEADER = "Samphire-Deadline-Ms";

  /** Names the VM of the entry that forwarded the request. */
  static final String FORWARDED_HEADER = "Samphire-Forwarded";

  private static final long MAX_DEADLINE_MS = 86_400_000;
  // Names and values were already validated by the HTTP decoder.
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
   * Returns the headers for a backend server: without the key and the headers meant for entries.
   * The ticket is kept, since a service may use it as an idempotency key.
   */
  static HttpHeaders forBackend(HttpHeaders source) {
    return without(source, HIDDEN_FROM_BACKENDS);
  }

  /** Returns the headers for another entry, including the key, which that entry checks itself. */
  static HttpHeaders forEntry(HttpHeaders source) {
    return without(source, HIDDEN_FROM_ENTRIES);
  }

  private static HttpHeaders without(HttpHeaders source, HttpHeaders excluded) {
    HttpHeaders headers = UNVALIDATED.newHeaders();
    var iterator = source.iteratorCharSequence();
    while (iterator.hasNext()) {
      Map.Entry<CharSequence, CharSequence> header = iterator.next();
      if (!excluded.contains(header.getKey())) {
        headers.add(header.getKey(), header.getValue());
      }
    }
    for (String connectionOptions : source.getAll(HttpHeaderNames.CONNECTION)) {
      List.of(connectionOptions.split(",", -1)).forEach(name -> headers.remove(name.trim()));
    }
    return headers;
  }

  /** Returns a case-insensitive set of header names. */
  private static HttpHeaders nameSet(List<CharSequence> names) {
    HttpHeaders headers = UNVALIDATED.newHeaders();
    names.forEach(name -> headers.set(name, ""));
    return headers;
  }

  /** Parses the deadline header into a time on the monotonic clock of the process. */
  static Result<OptionalLong> parseDeadlineMs(HttpHeaders headers, long nowMs) {
    Optional<String> value = get(headers, DEADLINE_HEADER);
    if (value.isEmpty()) {
      return Result.success(OptionalLong.empty());
    }
    boolean valid =
        value.get().matches("\\d{1,9}") && Long.parseLong(value.get()) <= MAX_DEADLINE_MS;
    return valid
        ? Result.success(OptionalLong.of(nowMs + Long.parseLong(value.get())))
        : Result.failed(
            EntryFailure.notRun(
                400,
                "bad_deadline",
                "The header %s must be a whole number of milliseconds from 0 to %d."
                    .formatted(DEADLINE_HEADER, MAX_DEADLINE_MS)));
  }
}
