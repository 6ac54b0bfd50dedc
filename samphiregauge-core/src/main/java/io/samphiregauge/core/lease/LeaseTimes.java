package io.samphiregauge.core.lease;

/** Times of leases. */
public final class LeaseTimes {
  /** Duration that a claim asks for. */
  public static final long DURATION_MS = 10_000;

  /** Time between renewals; two may be lost before the lease expires. */
  public static final long RENEWAL_PERIOD_MS = 3_000;

  /** Part by which the rate of a clock may be wrong, as 1 in this many. */
  public static final long CLOCK_RATE_MARGIN = 20;

  /** Validity that must remain when an action starts; covers the gap up to the socket write. */
  public static final long ACTION_GUARD_MS = 1_000;

  private LeaseTimes() {}

  /**
   * Shortens a duration for the holder, whose clock may be slow.
   *
   * @param durationMs duration of the lease
   * @return time for which the holder may act
   */
  public static long holderDurationMs(long durationMs) {
    return durationMs - durationMs / CLOCK_RATE_MARGIN;
  }

  /**
   * Extends a duration for a claimant, whose clock may be fast.
   *
   * @param durationMs duration of the lease
   * @return time for which a claimant waits
   */
  public static long claimantWaitMs(long durationMs) {
    return durationMs + durationMs / CLOCK_RATE_MARGIN;
  }
}
