package io.samphiregauge.net;

import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads how long a server keeps an idle connection open. */
final class KeepAliveTimeout {
  /** Servers that state no time keep connections for longer than this. */
  static final Duration DEFAULT = Duration.ofSeconds(2);

  /** A connection is not used in the last part of its time, when the server may close it. */
  private static final Duration MARGIN = Duration.ofMillis(400);

  private static final Pattern TIMEOUT = Pattern.compile("(?i)\\btimeout\\s*=\\s*(\\d{1,6})");

  private KeepAliveTimeout() {}

  /** Returns the time for which the connection may be used again. */
  static Duration of(HttpResponse head) {
    return Optional.ofNullable(head.headers().get("Keep-Alive"))
        .map(TIMEOUT::matcher)
        .filter(Matcher::find)
        .map(matcher -> Duration.ofSeconds(Long.parseLong(matcher.group(1))).minus(MARGIN))
        .orElse(DEFAULT);
  }
}
