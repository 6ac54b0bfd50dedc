package io.samphiregauge.core.log;

import io.samphiregauge.core.result.Failure;
import java.util.Optional;

/**
 * The result of applying a record: the next state, and the reason if the record was rejected.
 *
 * @param state state after the record
 * @param rejection reason of the rejection, or empty if the record was accepted
 */
public record FoldStep(FoldedState state, Optional<Failure> rejection) {
  /**
   * Returns whether the record was accepted.
   *
   * @return true if there is no rejection
   */
  public boolean accepted() {
    return rejection.isEmpty();
  }
}
