package io.samphiregauge.core.log;

import io.samphiregauge.core.result.Failure;
import java.util.Optional;

/**
 * State after a record, and why the record was ignored where it was.
 *
 * @param state state after the record
 * @param rejection reason, or empty where the record was accepted
 */
public record FoldStep(FoldedState state, Optional<Failure> rejection) {
  /**
   * Tells whether the record was accepted.
   *
   * @return true where there is no rejection
   */
  public boolean accepted() {
    return rejection.isEmpty();
  }
}
