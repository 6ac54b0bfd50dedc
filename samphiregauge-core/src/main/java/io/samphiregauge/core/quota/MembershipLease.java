package io.samphiregauge.core.quota;

import io.samphiregauge.core.DualTimestamp;

/**
 * How long an entry may rely on its list of members. While the lease holds, the store cannot have
 * dropped this entry from the group, and no member is missing that joined a lease time ago.
 *
 * @param confirmedAt time at which the join was sent by which the store last confirmed this entry
 *     and its list of members
 * @param memberSince time since which the store has confirmed this entry without a gap
 * @param successor whether this process replaced a member before the store had dropped that one
 * @param durationMs time for which a join is valid, less what clocks and calls need
 */
public record MembershipLease(
    DualTimestamp confirmedAt, DualTimestamp memberSince, boolean successor, long durationMs) {
  /** The lease of an entry that has not joined. */
  public static final MembershipLease NONE =
      new MembershipLease(DualTimestamp.NEVER, DualTimestamp.NEVER, false, 0);

  /** Returns whether the store's last confirmation is recent enough. */
  public boolean holds(DualTimestamp now) {
    return now.millisSince(confirmedAt) < durationMs;
  }

  /** Returns whether every entry with a valid lease knows this entry as a member. */
  public boolean isSettled(DualTimestamp now) {
    return holds(now) && now.monotonicMs() >= settledAtMs();
  }

  /** Returns the monotonic time, in milliseconds, from which this entry may lend by itself. */
  public long settledAtMs() {
    return memberSince.monotonicMs() + (successor ? 0 : durationMs);
  }
}
