package io.samphiregauge.gateway.traffic;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.site.SiteConfig;
import io.samphiregauge.core.site.SiteRoute;
import io.samphiregauge.core.site.Team;
import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.gateway.GatewayView;
import io.samphiregauge.gateway.port.Dialect;
import io.samphiregauge.gateway.port.RequestMeta;
import java.util.Optional;
import java.util.function.LongSupplier;

/** Decides where a request goes, and whether it may run at all. */
final class RequestRouter {
  private static final long RETRY_MS = 300;

  /** A view older than this may lack a route or key that was accepted meanwhile. */
  private static final long MAX_CURRENT_AGE_MS = 3_000;

  private final Dialect dialect;
  private final LongSupplier revocationMs;
  private final RandomSource random;

  /**
   * Makes the routing of an entry.
   *
   * @param dialect reads the heads of requests
   * @param revocationMs gives the longest time for which a withdrawn key may still work
   * @param random draws the service of a route with several
   */
  RequestRouter(Dialect dialect, LongSupplier revocationMs, RandomSource random) {
    this.dialect = dialect;
    this.revocationMs = revocationMs;
    this.random = random;
  }

  /** Returns the call with its route, or why the request is refused; the request stays retained. */
  Result<RoutedRequest> route(FullHttpRequest request, GatewayView view, DualTimestamp now) {
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
    String service = matchedRoute.selectService(random.nextLong() >>> 1);
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
            now.monotonicMs() + timeoutMs));
  }

  /** Returns whether a key that the view knows may still be used. */
  boolean areKeysCurrent(GatewayView view, DualTimestamp now) {
    return now.millisSince(view.configAsOf()) <= revocationMs.getAsLong();
  }

  /** Returns the refusal of a request whose key may have been withdrawn unseen. */
  static ErrorResponse staleConfigError() {
    return ErrorResponse.notRun(
        "config_stale", "The store has not confirmed the keys for too long.", RETRY_MS);
  }

  /** An entry that has lost touch does not know what was added, and must not deny it. */
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
