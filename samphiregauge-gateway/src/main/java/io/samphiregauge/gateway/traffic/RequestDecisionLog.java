package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.site.Team;
import io.samphiregauge.gateway.DualTimestamp;

/** Logs the decisions on one request, with its identifier, route and team. */
final class RequestDecisionLog {
  private final EventLoopContext context;
  private final RoutedRequest request;

  RequestDecisionLog(EventLoopContext context, RoutedRequest request) {
    this.context = context;
    this.request = request;
  }

  /**
   * Logs a decision.
   *
   * @param event name of the decision
   * @param fields further fields, as {@code name=value}, separated by spaces
   */
  void add(String event, String fields) {
    String team = request.team().map(Team::name).orElse("-");
    String allFields = fields + " route=" + request.route().name() + " team=" + team;
    context.decisionLog().add(event, request.attemptId(), allFields);
  }

  /** Returns the time since the request was received completely, in milliseconds. */
  long sinceArrivalMs() {
    return DualTimestamp.monotonicNowMs() - request.arrivedAt().monotonicMs();
  }
}
