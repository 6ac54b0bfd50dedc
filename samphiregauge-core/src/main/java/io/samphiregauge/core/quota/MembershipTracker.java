package io.samphiregauge.core.quota;

import io.samphiregauge.core.DualTimestamp;

/**
 * Derives from the joins of an entry how long it may rely on its list of members. Not thread-safe.
 */
public final class MembershipTracker {
  private final long leaseMs;
  private DualTimestamp lastJoinSent = DualTimestamp.NEVER;
  private DualTimestamp memberSince = DualTimestamp.NEVER;
  private DualTimestamp listConfirmedAt = DualTimestamp.NEVER;
  private boolean successor;

  /**
   * Creates the tracker of an entry that has not joined.
   *
   * @param leaseMs time from the send of a join for which the store certainly keeps the member
   */
  public MembershipTracker(long leaseMs) {
    this.leaseMs = leaseMs;
  }

  /**
   * Records a join that the store accepted. The membership begins anew if the store may have
   * dropped this entry since the last one.
   *
   * @param sentAt time at which it was sent
   * @param answeredAt time at which its answer arrived
   */
  public void recordJoined(DualTimestamp sentAt, DualTimestamp answeredAt) {
    if (answeredAt.millisSince(lastJoinSent) >= leaseMs) {
      // Others can read the new member only once the store has executed the join.
      memberSince = answeredAt;
      successor = false;
    }
    lastJoinSent = sentAt;
  }

  /**
   * Records that this entry has the list of members of the last join.
   *
   * @param joinSentAt time at which that join was sent
   */
  public void recordListConfirmed(DualTimestamp joinSentAt) {
    listConfirmedAt = joinSentAt;
  }

  /**
   * Records that the list still holds an earlier process of this VM, which has ended. No other
   * entry can have taken over its teams, so that this entry need not wait.
   *
   * @param startedBeforeMs how long before this process that one was started, in milliseconds
   */
  public void recordPredecessor(long startedBeforeMs) {
    // The earlier process may have waited itself, after it had joined.
    successor = successor || startedBeforeMs > 2 * leaseMs;
  }

  /** Returns the lease that follows from what was recorded. */
  public MembershipLease lease() {
    return new MembershipLease(listConfirmedAt, memberSince, successor, leaseMs);
  }
}
