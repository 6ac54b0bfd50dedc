package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.quota.QuotaCharge;
import java.util.Optional;

/**
 * Gives the charge of a request back if no server has run it and none will: it was not sent, or all
 * servers rejected it. A request counts once, however often it is sent.
 */
final class QuotaSettlement {
  private final EventLoopContext context;
  private Optional<QuotaCharge> charge;
  private int sendsThatMayRun;

  QuotaSettlement(EventLoopContext context, Optional<QuotaCharge> charge) {
    this.context = context;
    this.charge = charge;
  }

  void onSent() {
    sendsThatMayRun++;
  }

  /** Records that a server guarantees not to run what was sent last. */
  void onRejected() {
    sendsThatMayRun--;
  }

  void onEnd() {
    if (sendsThatMayRun == 0) {
      charge.ifPresent(paid -> context.quotaGate().refund(paid, DualTimestamp.now()));
    }
    charge = Optional.empty();
  }
}
