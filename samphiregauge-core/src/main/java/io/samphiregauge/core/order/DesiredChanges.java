package io.samphiregauge.core.order;

import io.samphiregauge.core.log.FoldedState;
import java.util.List;

/** Computes the desired changes of the fleet, such as roles of engines and the fleet size. */
@FunctionalInterface
public interface DesiredChanges {
  /**
   * Returns the desired changes, most urgent first.
   *
   * @param state folded state, including the open intents
   * @param nowMs current time
   * @return changes; those whose target has an open intent are deferred
   */
  List<DesiredChange> compute(FoldedState state, long nowMs);
}
