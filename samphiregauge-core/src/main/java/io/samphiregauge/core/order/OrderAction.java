package io.samphiregauge.core.order;

import io.samphiregauge.schema.EngineOrder;
import io.samphiregauge.schema.RecordBody;

/** Action that an {@link Orderer} requests. */
public sealed interface OrderAction {
  /** Append a record to the log. */
  record Write(RecordBody body) implements OrderAction {}

  /**
   * Send an order if the lease still allows it immediately before the socket write.
   *
   * @param intentOffset log offset of the intent; serves as fencing token and idempotency key of
   *     the order
   * @param leaseToken fencing token of the lease under which the order is sent
   * @param target name of the backend server, or {@link Orders#PLATFORM}
   * @param order the order
   */
  record Send(long intentOffset, long leaseToken, String target, EngineOrder order)
      implements OrderAction {}

  /**
   * Log a decision.
   *
   * @param target name of the backend server, or {@link Orders#PLATFORM}
   * @param decision class name of the order that was decided
   * @param reason reason of the decision
   */
  record DecisionMade(String target, String decision, String reason) implements OrderAction {}
}
