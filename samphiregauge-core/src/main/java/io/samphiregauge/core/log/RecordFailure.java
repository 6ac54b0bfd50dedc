package io.samphiregauge.core.log;

import io.samphiregauge.core.result.Failure;

/** Reasons why the fold ignores a record. */
public sealed interface RecordFailure extends Failure {
  /** The record repeats one that was folded before. */
  record Repeated(long sequence, long foldedSequence) implements RecordFailure {
    @Override
    public String type() {
      return "repeated_record";
    }

    @Override
    public String message() {
      return "The sequence number %d is not greater than %d, the last one folded for its writer."
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
      return "The writer on the VM \"%s\" has not joined or has ended.".formatted(vm);
    }
  }

  /** A claim names a lease record that is not the last accepted one. */
  record StaleClaim(String role, long supersedesOffset, long lastOffset) implements RecordFailure {
    @Override
    public String type() {
      return "stale_claim";
    }

    @Override
    public String message() {
      return "The claim of %s supersedes offset %d, but the last accepted lease record is at %d."
          .formatted(role, supersedesOffset, lastOffset);
    }
  }

  /** A record carries a fencing token that is not the current one of its role. */
  record StaleToken(String role, long token) implements RecordFailure {
    @Override
    public String type() {
      return "stale_token";
    }

    @Override
    public String message() {
      return "The fencing token %d is not the current one of %s.".formatted(token, role);
    }
  }

  /** The state does not allow the record, for example a second seal of a usage window. */
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
