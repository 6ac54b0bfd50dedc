package io.samphiregauge.core.order;

import io.samphiregauge.schema.EngineOrder;
import io.samphiregauge.schema.RecordBody;

/** What the orderer asks for. */
public sealed interface OrderAction {
  /** Append a record. */
  record Write(RecordBody body) implements OrderAction {}

  /**
   * Send an order, if the lease still allows it at the last step before the write.
   *
   * @param intentOffset offset of the intent: fencing token of the order and idempotency key
   * @param leaseToken fencing token of the lease that allows the order
   * @param target name of the backend server, or {@link Orders#PLATFORM}
   * @param order the order
   */
  record Send(long intentOffset, long leaseToken, String target, EngineOrder order)
      implements OrderAction {}

  /**
   * A decision to be logged.
   *
   * @param target name of the backend server, or {@link Orders#PLATFORM}
   * @param decision what was decided, in snake case
   * @param reason why
   */
  record DecisionMade(String target, String decision, String reason) implements OrderAction {}
}
