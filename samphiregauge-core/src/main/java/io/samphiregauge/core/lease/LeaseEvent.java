package io.samphiregauge.core.lease;

import io.samphiregauge.schema.record.LeaseState;
import io.samphiregauge.schema.record.LogRecord;
import java.util.Optional;
import java.util.OptionalLong;

/** What a lease agent is told. */
public sealed interface LeaseEvent {
  /** Time passed. */
  record Tick() implements LeaseEvent {}

  /**
   * The process may claim the lease, or may no longer.
   *
   * @param eligible whether it may
   * @param claimDelayMs time between the expiry of a lease and the claim; differs between entries,
   *     so that few of them claim at once
   */
  record Candidacy(boolean eligible, long claimDelayMs) implements LeaseEvent {}

  /**
   * A record of the log was read and folded.
   *
   * @param offset its offset
   * @param logRecord the record
   * @param accepted whether the fold accepted it
   * @param firstSentMs time before its first send, where this process sent it
   */
  record Read(long offset, LogRecord logRecord, boolean accepted, OptionalLong firstSentMs)
      implements LeaseEvent {}

  /**
   * The state was taken from a checkpoint or from a peer.
   *
   * @param lease lease in that state
   */
  record Restored(Optional<LeaseState> lease) implements LeaseEvent {}

  /** The process gives the lease up and claims no more. */
  record Resign() implements LeaseEvent {}
}
