package io.samphiregauge.gateway.traffic;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.TextHash;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.site.SiteConfig;
import io.samphiregauge.core.site.SiteRoute;
import io.samphiregauge.core.site.Team;
import io.samphiregauge.gateway.GatewayView;
import io.samphiregauge.gateway.port.Dialect;
import io.samphiregauge.gateway.port.RequestMeta;
import java.util.Optional;
import java.util.function.LongSupplier;

/** Authenticates a request and selects its route and service. */
final class RequestRouter {
  /** Retry-After while the configuration is missing or stale. */
  private static final long RETRY_MS = 300;

  /** Age above which a view may lack routes and keys that were added in the meantime. */
  private static final long MAX_CURRENT_AGE_MS = 3_000;

  private final Dialect dialect;
  private final LongSupplier revocationMs;
  private final RandomSource random;

  /**
   * Creates the router of an entry.
   *
   * @param dialect parses the headers of requests
   * @param revocationMs provides the maximum time, in milliseconds, for which a revoked key may
   *     still be accepted
   * @param random selects the service on routes with several services
   */
  RequestRouter(Dialect dialect, LongSupplier revocationMs, RandomSource random) {
    this.dialect = dialect;
    this.revocationMs = revocationMs;
    this.random = random;
  }

  /**
   * Routes a request.
   *
   * @param request the request; its reference count stays unchanged
   * @param view current control state
   * @param now time at which the request was received completely
   * @param arrivedAtMs earliest monotonic time, in milliseconds, at which it can have arrived; the
   *     deadline counts from then, so that no server works after the caller has given up
   * @return the routed request, or the {@link ErrorResponse} to send
   */
  Result<RoutedRequest> route(
      FullHttpRequest request, GatewayView view, DualTimestamp now, long arrivedAtMs) {
    if (view.config().isEmpty()) {
      return Result.failed(
          ErrorResponse.notRun("no_config", "No configuration is known yet.", RETRY_MS));
    }
    SiteConfig config = view.config().orElseThrow();
    RequestMeta meta = dialect.requestParser().apply(request);
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    Optional<SiteRoute> route = config.findRoute(host, pathOf(request.uri()));
    if (route.isEmpty()) {
      return Result.failed(
          unknownOrStaleError(view, now, 404, "no_route", "No route matches host and path."));
    }
    SiteRoute matchedRoute = route.orElseThrow();
    boolean requiresKey = config.requiresKeys() && !matchedRoute.publicAccess();
    Optional<Team> team = meta.teamKey().flatMap(config::findTeam);
    if (requiresKey && team.isEmpty()) {
      return Result.failed(
          unknownOrStaleError(view, now, 401, "unknown_key", "The key is not known."));
    }
    if (requiresKey && !areKeysCurrent(view, now)) {
      return Result.failed(staleConfigError());
    }
    long timeoutMs = Math.min(matchedRoute.timeoutMs(), meta.deadlineMs().orElse(Long.MAX_VALUE));
    String service = matchedRoute.selectService(serviceDraw(meta));
    boolean hasEngine = config.engineSpec(service).isPresent();
    return Result.success(
        new RoutedRequest(
            request,
            meta,
            matchedRoute,
            service,
            requiresKey ? team : Optional.empty(),
            meta.prompt().filter(prompt -> hasEngine),
            now,
            arrivedAtMs + timeoutMs));
  }

  /**
   * Draws the service on a route with several services. A caller that resumes a stream draws the
   * one that began it, unless the weights have changed.
   */
  private long serviceDraw(RequestMeta meta) {
    return meta.resumedAttemptId()
        .or(meta::attemptId)
        .map(id -> Integer.toUnsignedLong(TextHash.crc32c(id)))
        .orElseGet(() -> random.nextLong() >>> 1);
  }

  /**
   * Returns whether a configuration still allows a request that was routed by an earlier one.
   *
   * @param config the configuration
   * @param request the request
   */
  static boolean allows(SiteConfig config, RoutedRequest request) {
    String host = request.httpRequest().headers().get(HttpHeaderNames.HOST, "");
    boolean routed =
        config
            .findRoute(host, pathOf(request.httpRequest().uri()))
            .filter(
                route ->
                    route.shares().stream()
                        .anyMatch(share -> share.service().equals(request.service())))
            .isPresent();
    return routed
        && (request.team().isEmpty()
            || request.meta().teamKey().flatMap(config::findTeam).isPresent());
  }

  /** Returns whether the view is recent enough to accept the keys that it contains. */
  boolean areKeysCurrent(GatewayView view, DualTimestamp now) {
    return now.millisSince(view.configAsOf()) <= revocationMs.getAsLong();
  }

  /** Returns the error for a request whose key may have been revoked without this entry knowing. */
  static ErrorResponse staleConfigError() {
    return ErrorResponse.notRun(
        "config_stale", "The store has not confirmed the keys for too long.", RETRY_MS);
  }

  /**
   * Returns the error for an unknown route or key. With an outdated view this is a retryable 503,
   * because the route or key may have been added since.
   */
  private static ErrorResponse unknownOrStaleError(
      GatewayView view, DualTimestamp now, int status, String type, String message) {
    return now.millisSince(view.configAsOf()) <= MAX_CURRENT_AGE_MS
        ? new ErrorResponse(status, type, message, 0)
        : ErrorResponse.notRun(
            "config_stale", message + " The configuration may be old.", RETRY_MS);
  }

  private static String pathOf(String uri) {
    int queryStart = uri.indexOf('?');
    return queryStart < 0 ? uri : uri.substring(0, queryStart);
  }
}
