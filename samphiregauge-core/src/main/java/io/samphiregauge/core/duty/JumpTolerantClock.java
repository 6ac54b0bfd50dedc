package io.samphiregauge.core.duty;

/**
 * Wall-clock time that ignores short jumps of the clock. Used by one thread.
 *
 * <p>It advances with the monotonic clock. A difference from the wall clock is adopted only once it
 * has lasted, because a clock that was set wrongly is set right again within seconds.
 */
public final class JumpTolerantClock {
  /** Differences below this are drift and are adopted at once. */
  private static final long MAX_DRIFT_MS = 200;

  /** A clock that was set wrongly was seen to be set right within 6 s. */
  private static final long ADOPT_AFTER_MS = 10_000;

  private long offsetMs;
  private long differsSinceMs = Long.MIN_VALUE;

  /**
   * Starts with the wall clock as it is.
   *
   * @param monotonicMs monotonic time
   * @param wallMs wall-clock time, in milliseconds since 1970
   */
  public JumpTolerantClock(long monotonicMs, long wallMs) {
    offsetMs = wallMs - monotonicMs;
  }

  /**
   * Returns the time.
   *
   * @param monotonicMs monotonic time
   * @param wallMs wall-clock time, in milliseconds since 1970
   * @return milliseconds since 1970
   */
  public long millis(long monotonicMs, long wallMs) {
    long newOffsetMs = wallMs - monotonicMs;
    if (Math.abs(newOffsetMs - offsetMs) <= MAX_DRIFT_MS) {
      offsetMs = newOffsetMs;
      differsSinceMs = Long.MIN_VALUE;
    } else if (differsSinceMs == Long.MIN_VALUE) {
      differsSinceMs = monotonicMs;
    } else if (monotonicMs - differsSinceMs >= ADOPT_AFTER_MS) {
      offsetMs = newOffsetMs;
      differsSinceMs = Long.MIN_VALUE;
    }
    return monotonicMs + offsetMs;
  }
}
