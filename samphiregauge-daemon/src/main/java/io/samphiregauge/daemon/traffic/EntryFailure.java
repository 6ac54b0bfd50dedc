package io.samphiregauge.daemon.traffic;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.schema.entry.Outcome;

/**
 * Reason why the entry itself responds with an error, instead of forwarding a response.
 *
 * @param status HTTP status
 * @param type machine-readable type of the failure
 * @param message human-readable description
 * @param outcome whether the request may have run on a backend server
 */
record EntryFailure(int status, String type, String message, Outcome outcome) implements Failure {
  static EntryFailure notRun(int status, String type, String message) {
    return new EntryFailure(status, type, message, Outcome.NOT_RUN);
  }

  static EntryFailure outcomeUnknown(int status, String type, String message) {
    return new EntryFailure(status, type, message, Outcome.OUTCOME_UNKNOWN);
  }

  /** Converts a failure of another layer that occurred before the request ran; status 400. */
  static EntryFailure notRun(Failure failure) {
    return failure instanceof EntryFailure entry
        ? entry
        : notRun(400, failure.type(), failure.message());
  }
}
