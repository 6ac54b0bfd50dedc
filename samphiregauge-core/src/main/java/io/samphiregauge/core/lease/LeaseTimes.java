package io.samphiregauge.core.lease;

/** Durations of leases, in milliseconds, and their correction for clock rate errors. */
public final class LeaseTimes {
  /** Lease duration in claims. */
  public static final long DURATION_MS = 10_000;

  /** Time between renewals; the lease survives the loss of two. */
  public static final long RENEWAL_PERIOD_MS = 3_000;

  /** Inverse of the maximum clock rate error: 20 allows for clocks that run 5% fast or slow. */
  public static final long CLOCK_RATE_MARGIN = 20;

  /** Minimum remaining validity at the start of an action; covers the time to the socket write. */
  public static final long ACTION_GUARD_MS = 1_000;

  private LeaseTimes() {}

  /**
   * Shortens a lease duration for the holder, whose clock may run slow.
   *
   * @param durationMs duration of the lease
   * @return time for which the holder may act, on its own clock
   */
  public static long holderDurationMs(long durationMs) {
    return durationMs - durationMs / CLOCK_RATE_MARGIN;
  }

  /**
   * Extends a lease duration for a claimant, whose clock may run fast.
   *
   * @param durationMs duration of the lease
   * @return time for which a claimant waits, on its own clock
   */
  public static long claimantWaitMs(long durationMs) {
    return durationMs + durationMs / CLOCK_RATE_MARGIN;
  }
}
