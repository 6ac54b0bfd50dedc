package io.samphiregauge.core.order;

import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.platform.OrderStatus;
import java.util.List;
import java.util.OptionalLong;

/** What the orderer is told. */
public sealed interface OrderEvent {
  /**
   * Time passed, or the folded state or the lease changed.
   *
   * @param state folded state
   * @param token fencing token of the fleet lease, where this process may act
   * @param desiredChanges wanted changes, most urgent first
   */
  record Tick(FoldedState state, OptionalLong token, List<DesiredChange> desiredChanges)
      implements OrderEvent {
    /** Copies the wishes. */
    public Tick {
      desiredChanges = List.copyOf(desiredChanges);
    }
  }

  /** An intent of this process was read in the log, accepted or not. */
  record IntentRead(String target) implements OrderEvent {}

  /** The target answered an order. */
  record Responded(long intentOffset, OrderStatus status) implements OrderEvent {}

  /** No answer came; the order may have taken effect. */
  record OutcomeUnknown(long intentOffset) implements OrderEvent {}
}
