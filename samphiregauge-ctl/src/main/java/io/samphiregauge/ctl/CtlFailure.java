package io.samphiregauge.ctl;

import io.samphiregauge.core.result.Failure;

/** Failures that originate in {@code samphirectl}, not in the services that it calls. */
sealed interface CtlFailure extends Failure {
  /** An invalid or incomplete command line; the process exits with 2. */
  record Usage(String message) implements CtlFailure {
    @Override
    public String type() {
      return "usage";
    }
  }

  /** A note that was sent but did not appear in the log within the allowed attempts. */
  record OutcomeUnknown(String reason) implements CtlFailure {
    @Override
    public String type() {
      return "outcome_unknown";
    }

    @Override
    public String message() {
      return "The note was sent but has not appeared in the log, so it may still be accepted: "
          + reason
          + " Check the output of \"samphirectl history\" before you apply it again.";
    }
  }

  /**
   * A record that did not appear in the log within the allowed attempts, a demo request that
   * failed, or a demo that was interrupted.
   */
  record TooLate(String reason) implements CtlFailure {
    @Override
    public String type() {
      return "too_late";
    }

    @Override
    public String message() {
      return reason;
    }
  }

  /** A name that does not exist in the configuration in force. */
  record UnknownReference(String kind, String name) implements CtlFailure {
    @Override
    public String type() {
      return "unknown_reference";
    }

    @Override
    public String message() {
      return "The %s \"%s\" does not exist in the configuration in force.".formatted(kind, name);
    }
  }

  /** A log whose oldest records have expired and that contains no checkpoint that covers them. */
  record NoCheckpoint(long firstOffset) implements CtlFailure {
    @Override
    public String type() {
      return "no_checkpoint";
    }

    @Override
    public String message() {
      return "The log starts at offset %d and contains no checkpoint for the expired records."
          .formatted(firstOffset);
    }
  }
}
