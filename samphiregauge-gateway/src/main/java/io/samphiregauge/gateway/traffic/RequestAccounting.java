package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.site.Team;
import io.samphiregauge.gateway.DualTimestamp;

/** Charges a request to its team once, when the first server has begun to run it. */
final class RequestAccounting {
  private final EventLoopContext context;
  private final RoutedRequest request;
  private boolean recorded;

  RequestAccounting(EventLoopContext context, RoutedRequest request) {
    this.context = context;
    this.request = request;
  }

  /**
   * Charges the request, unless that was done.
   *
   * @param startedAt when it began to run
   * @return whether it was charged now
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
