package io.samphiregauge.core.duty;

/**
 * A wall clock that ignores short-lived jumps of the system clock. Not thread-safe.
 *
 * <p>The time advances with the monotonic clock. A small deviation of the system clock is adopted
 * immediately. A larger deviation is adopted only if it lasts 10 s, because a wrongly set clock is
 * typically corrected within seconds.
 */
public final class JumpTolerantClock {
  /** Deviations up to this limit are clock drift and are adopted immediately. */
  private static final long MAX_DRIFT_MS = 200;

  /** Exceeds the 6 s within which a wrongly set clock is typically corrected. */
  private static final long ADOPT_AFTER_MS = 10_000;

  private long offsetMs;
  private long differsSinceMs = Long.MIN_VALUE;

  /**
   * Creates a clock that starts at the given wall-clock time.
   *
   * @param monotonicMs current monotonic time
   * @param wallMs current time of the system clock, in milliseconds since the epoch
   */
  public JumpTolerantClock(long monotonicMs, long wallMs) {
    offsetMs = wallMs - monotonicMs;
  }

  /**
   * Updates the clock and returns its time.
   *
   * @param monotonicMs current monotonic time
   * @param wallMs current time of the system clock, in milliseconds since the epoch
   * @return corrected wall-clock time, in milliseconds since the epoch
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
