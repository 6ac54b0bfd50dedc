package io.samphiregauge.net;

import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads from a response how long the server keeps an idle connection open. */
final class KeepAliveTimeout {
  /** Used if the server announces no timeout; such servers keep connections open for longer. */
  static final Duration DEFAULT = Duration.ofSeconds(2);

  /** Subtracted from the timeout, because the server may close the connection near its end. */
  private static final Duration MARGIN = Duration.ofMillis(400);

  private static final Pattern TIMEOUT = Pattern.compile("(?i)\\btimeout\\s*=\\s*(\\d{1,6})");

  private KeepAliveTimeout() {}

  /** Returns the time after the response during which the connection may be reused. */
  static Duration of(HttpResponse head) {
    return Optional.ofNullable(head.headers().get("Keep-Alive"))
        .map(TIMEOUT::matcher)
        .filter(Matcher::find)
        .map(matcher -> Duration.ofSeconds(Long.parseLong(matcher.group(1))).minus(MARGIN))
        .orElse(DEFAULT);
  }
}
