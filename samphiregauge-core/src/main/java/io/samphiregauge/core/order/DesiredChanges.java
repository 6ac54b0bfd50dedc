package io.samphiregauge.core.order;

import io.samphiregauge.core.log.FoldedState;
import java.util.List;

/** Says which changes of the fleet are wanted; policies for roles and fleet size implement it. */
@FunctionalInterface
public interface DesiredChanges {
  /**
   * Returns the wanted changes, most urgent first.
   *
   * @param state folded state, with the open intents
   * @param nowMs current time
   * @return changes; those whose target has an open intent are put off
   */
  List<DesiredChange> compute(FoldedState state, long nowMs);
}
