package io.samphiregauge.core.log;

import io.samphiregauge.core.result.Failure;

/** Reasons why a log record is rejected. */
public sealed interface RecordFailure extends Failure {
  /** The record duplicates one that was applied before. */
  record Repeated(long sequence, long foldedSequence) implements RecordFailure {
    @Override
    public String type() {
      return "repeated_record";
    }

    @Override
    public String message() {
      return "The sequence number %d is not greater than %d, the last one applied for its writer."
          .formatted(sequence, foldedSequence);
    }
  }

  /** The writer has not joined, has ended, or was replaced by a newer process of its VM. */
  record WriterNotLive(String vm) implements RecordFailure {
    @Override
    public String type() {
      return "writer_not_live";
    }

    @Override
    public String message() {
      return "The writer on the VM \"%s\" has not joined, has ended or was replaced.".formatted(vm);
    }
  }

  /** The claim supersedes a lease record that is no longer the last accepted one. */
  record StaleClaim(String role, long supersedesOffset, long lastOffset) implements RecordFailure {
    @Override
    public String type() {
      return "stale_claim";
    }

    @Override
    public String message() {
      return ("The claim of the role %s supersedes offset %d,"
              + " but the last accepted lease record is at offset %d.")
          .formatted(role, supersedesOffset, lastOffset);
    }
  }

  /** The record carries a fencing token that is not the current one of its role. */
  record StaleToken(String role, long token) implements RecordFailure {
    @Override
    public String type() {
      return "stale_token";
    }

    @Override
    public String message() {
      return "The fencing token %d is not the current one of the role %s.".formatted(token, role);
    }
  }

  /** The record conflicts with the state, such as a second seal of a usage window. */
  record NotAllowed(String reason) implements RecordFailure {
    @Override
    public String type() {
      return "not_allowed";
    }

    @Override
    public String message() {
      return reason;
    }
  }
}
