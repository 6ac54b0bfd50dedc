package io.samphiregauge.daemon.traffic;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.ticket.Ticket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Headers of a caller's request, and which of them go on to a backend server. */
final class CallerHeaders {
  /** Time in milliseconds from the arrival of the request in which its answer must begin. */
  static final String DEADLINE = "Samphire-Deadline-Ms";

  /** VM of the entry that forwarded the request. */
  static final String FORWARDED = "Samphire-Forwarded";

  // The names and values were checked when they were decoded.
  private static final HttpHeadersFactory UNCHECKED =
      DefaultHttpHeadersFactory.headersFactory().withValidation(false);
  private static final long MAX_DEADLINE_MS = 86_400_000;
  private static final List<CharSequence> KEY =
      List.of(HttpHeaderNames.AUTHORIZATION, HttpHeaderNames.PROXY_AUTHORIZATION);
  private static final List<CharSequence> OWN = List.of(DEADLINE, FORWARDED, Ticket.HEADER);
  private static final List<CharSequence> CONNECTION =
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

  private CallerHeaders() {}

  static Optional<String> get(HttpHeaders headers, CharSequence name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns what a backend server may see: neither the key nor headers of this entry. */
  static HttpHeaders forBackend(HttpHeaders from) {
    HttpHeaders headers = forEntry(from);
    KEY.forEach(headers::remove);
    OWN.forEach(headers::remove);
    return headers;
  }

  /** Returns what another entry may see, which checks the key itself. */
  static HttpHeaders forEntry(HttpHeaders from) {
    HttpHeaders headers = UNCHECKED.newHeaders();
    for (Map.Entry<String, String> header : from) {
      headers.add(header.getKey(), header.getValue());
    }
    for (String listed : from.getAll(HttpHeaderNames.CONNECTION)) {
      List.of(listed.split(",", -1)).forEach(name -> headers.remove(name.trim()));
    }
    CONNECTION.forEach(headers::remove);
    return headers;
  }

  /** Reads the deadline as a time on the clock of the process. */
  static Result<OptionalLong> deadlineMs(HttpHeaders headers, long nowMs) {
    Optional<String> text = get(headers, DEADLINE);
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
                    .formatted(DEADLINE, MAX_DEADLINE_MS)));
  }
}
