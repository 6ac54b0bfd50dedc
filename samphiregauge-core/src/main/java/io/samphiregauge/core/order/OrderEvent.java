package io.samphiregauge.core.order;

import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.platform.OrderStatus;
import java.util.List;
import java.util.OptionalLong;

/** Input event of an {@link Orderer}. */
public sealed interface OrderEvent {
  /**
   * Time has passed, or the folded state or the lease has changed.
   *
   * @param state folded state
   * @param token fencing token of the fleet lease, or empty if this process may not act under it
   * @param desiredChanges desired changes, most urgent first
   */
  record Tick(FoldedState state, OptionalLong token, List<DesiredChange> desiredChanges)
      implements OrderEvent {
    /** Makes a defensive copy of the list. */
    public Tick {
      desiredChanges = List.copyOf(desiredChanges);
    }
  }

  /** An intent that this process wrote was read from the log, accepted or not. */
  record IntentRead(String target) implements OrderEvent {}

  /** The target responded to an order. */
  record Responded(long intentOffset, OrderStatus status) implements OrderEvent {}

  /** No response arrived; the order may have taken effect. */
  record OutcomeUnknown(long intentOffset) implements OrderEvent {}
}
