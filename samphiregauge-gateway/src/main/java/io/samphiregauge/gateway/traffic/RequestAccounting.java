package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.site.Team;

/** Counts a request in the usage of its team, once, when the first server starts to run it. */
final class RequestAccounting {
  private final EventLoopContext context;
  private final RoutedRequest request;
  private boolean recorded;

  RequestAccounting(EventLoopContext context, RoutedRequest request) {
    this.context = context;
    this.request = request;
  }

  /**
   * Counts the request and records its latency, unless that was done before.
   *
   * @param startedAt time at which it started to run
   * @return whether it was counted by this call
   */
  boolean recordStarted(DualTimestamp startedAt) {
    if (recorded) {
      return false;
    }
    recorded = true;
    request.team().map(Team::name).ifPresent(team -> context.reportRequestStarted(team, startedAt));
    context
        .metrics()
        .recordDurationMs(
            "first_byte." + request.route().kind(),
            DualTimestamp.monotonicNowMs() - request.arrivedAt().monotonicMs());
    return true;
  }
}
