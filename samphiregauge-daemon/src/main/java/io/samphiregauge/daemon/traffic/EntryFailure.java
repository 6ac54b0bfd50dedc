package io.samphiregauge.daemon.traffic;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.schema.entry.Outcome;

/**
 * A request that gets no answer from a backend server.
 *
 * @param status HTTP status
 * @param type type of the failure
 * @param message description for people
 * @param outcome whether the request may have run
 */
record EntryFailure(int status, String type, String message, Outcome outcome) implements Failure {
  static EntryFailure notRun(int status, String type, String message) {
    return new EntryFailure(status, type, message, Outcome.NOT_RUN);
  }

  static EntryFailure outcomeUnknown(int status, String type, String message) {
    return new EntryFailure(status, type, message, Outcome.OUTCOME_UNKNOWN);
  }

  /** Takes over a failure of another layer that came about before the request ran. */
  static EntryFailure notRun(Failure failure) {
    return failure instanceof EntryFailure entry
        ? entry
        : notRun(400, failure.type(), failure.message());
  }
}
