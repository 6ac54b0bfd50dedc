package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.site.Team;
import io.samphiregauge.gateway.DualTimestamp;

/** Charges a request to its team once, when the first server has begun to run it. */
final class RunCharge {
  private final Traffic traffic;
  private final RelayedCall call;
  private boolean charged;

  RunCharge(Traffic traffic, RelayedCall call) {
    this.traffic = traffic;
    this.call = call;
  }

  /**
   * Charges the request, unless that was done.
   *
   * @param began when it began to run
   * @return whether it was charged now
   */
  boolean charge(DualTimestamp began) {
    if (charged) {
      return false;
    }
    charged = true;
    call.team().map(Team::name).ifPresent(team -> traffic.countUsage(team, began));
    traffic
        .metrics()
        .took(
            "first_byte." + call.route().kind(),
            DualTimestamp.monotonicNowMs() - call.arrived().monotonicMs());
    return true;
  }
}
