package io.samphiregauge.ctl;

import io.samphiregauge.core.result.Failure;

/** Failures of the commands themselves. */
sealed interface CtlFailure extends Failure {
  /** A command line that makes no sense. */
  record Usage(String message) implements CtlFailure {
    @Override
    public String type() {
      return "usage";
    }
  }

  /** A note that was sent, but that the log has not shown in time. */
  record OutcomeUnknown(String reason) implements CtlFailure {
    @Override
    public String type() {
      return "outcome_unknown";
    }

    @Override
    public String message() {
      return "The note was sent, but the log has not shown it, so it may still be accepted: "
          + reason
          + " See the command history.";
    }
  }

  /** A part of the system that took longer than the command waits. */
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

  /** A name that the configuration in force does not have. */
  record UnknownReference(String kind, String name) implements CtlFailure {
    @Override
    public String type() {
      return "unknown_reference";
    }

    @Override
    public String message() {
      return "There is no %s \"%s\" in the configuration in force.".formatted(kind, name);
    }
  }

  /** A log that has expired records and holds no checkpoint for them. */
  record NoCheckpoint(long firstOffset) implements CtlFailure {
    @Override
    public String type() {
      return "no_checkpoint";
    }

    @Override
    public String message() {
      return "The log starts at offset %d and holds no checkpoint.".formatted(firstOffset);
    }
  }
}
