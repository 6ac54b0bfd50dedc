package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.site.Team;
import io.samphiregauge.gateway.DualTimestamp;

/** Writes the decisions on one request. */
final class RequestDecisionLog {
  private final EventLoopContext context;
  private final RoutedRequest request;

  RequestDecisionLog(EventLoopContext context, RoutedRequest request) {
    this.context = context;
    this.request = request;
  }

  /**
   * Writes a line.
   *
   * @param event what was decided
   * @param fields further fields, as {@code name=value}
   */
  void add(String event, String fields) {
    String team = request.team().map(Team::name).orElse("-");
    String allFields = fields + " route=" + request.route().name() + " team=" + team;
    context.decisionLog().add(event, request.attemptId(), allFields);
  }

  long sinceArrivalMs() {
    return DualTimestamp.monotonicNowMs() - request.arrivedAt().monotonicMs();
  }
}
