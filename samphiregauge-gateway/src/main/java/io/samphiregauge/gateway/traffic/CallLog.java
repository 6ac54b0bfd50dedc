package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.site.Team;
import io.samphiregauge.gateway.DualTimestamp;

/** Writes the decisions on one request. */
final class CallLog {
  private final Traffic traffic;
  private final RelayedCall call;

  CallLog(Traffic traffic, RelayedCall call) {
    this.traffic = traffic;
    this.call = call;
  }

  /**
   * Writes a line.
   *
   * @param event what was decided
   * @param fields further fields, as {@code name=value}
   */
  void add(String event, String fields) {
    String team = call.team().map(Team::name).orElse("-");
    String all = fields + " route=" + call.route().name() + " team=" + team;
    traffic.decisions().add(event, call.id(), all);
  }

  long sinceArrivalMs() {
    return DualTimestamp.monotonicNowMs() - call.arrived().monotonicMs();
  }
}
