package io.samphiregauge.core.lease;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.schema.record.LeaseState;
import io.samphiregauge.schema.record.LogRecord;
import java.util.Optional;

/** Input event of a {@link LeaseAgent}. */
public sealed interface LeaseEvent {
  /** Time has passed; a claim, renewal or release may be due. */
  record Tick() implements LeaseEvent {}

  /**
   * The eligibility of the process for the lease may have changed.
   *
   * @param eligible whether the process may claim and renew the lease
   * @param claimDelayMs delay between the expiry of a lease and the claim; differs between entries,
   *     so that few of them claim at the same time
   */
  record Candidacy(boolean eligible, long claimDelayMs) implements LeaseEvent {}

  /**
   * A record was read from the log and passed to the fold.
   *
   * @param offset offset of the record
   * @param logRecord the record
   * @param accepted whether the fold accepted the record
   * @param firstSentAt time taken before the record was first sent; empty if another process sent
   *     it
   */
  record Read(
      long offset, LogRecord logRecord, boolean accepted, Optional<DualTimestamp> firstSentAt)
      implements LeaseEvent {}

  /**
   * The state was restored from a checkpoint or from a peer.
   *
   * @param lease lease of the role in that state, if any
   */
  record Restored(Optional<LeaseState> lease) implements LeaseEvent {}

  /** The process releases the lease and makes no further claims. */
  record Resign() implements LeaseEvent {}
}
