package io.samphiregauge.core;

/**
 * A point in time on the monotonic clock and on the wall clock. The monotonic clock stops while a
 * VM is suspended, and the wall clock may be set, so elapsed time is the greater one of the two
 * differences.
 *
 * @param monotonicMs monotonic time in milliseconds
 * @param wallMs wall-clock time in milliseconds since the epoch
 */
public record DualTimestamp(long monotonicMs, long wallMs) {
  /** A timestamp long before all others, for events that have not happened. */
  public static final DualTimestamp NEVER =
      new DualTimestamp(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

  /** Deviation of the two clocks above which one of them was set or the VM was suspended. */
  private static final long MAX_DEVIATION_MS = 200;

  private static final long NANOS_PER_MS = 1_000_000;

  /** Returns the current time of both clocks. */
  public static DualTimestamp now() {
    return new DualTimestamp(monotonicNowMs(), System.currentTimeMillis());
  }

  /** Returns the current monotonic time, in milliseconds. */
  public static long monotonicNowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  /**
   * Returns this timestamp minus a duration on both clocks.
   *
   * @param ms duration in milliseconds
   * @return the earlier timestamp
   */
  public DualTimestamp minusMs(long ms) {
    return new DualTimestamp(monotonicMs - ms, wallMs - ms);
  }

  /**
   * Returns the time since another timestamp.
   *
   * @param earlier the other timestamp
   * @return elapsed milliseconds; too many if the wall clock was set forward in the meantime
   */
  public long millisSince(DualTimestamp earlier) {
    return Math.max(monotonicMs - earlier.monotonicMs, wallMs - earlier.wallMs);
  }

  /**
   * Returns how much is left of a time span at this time.
   *
   * @param since start of the span
   * @param durationMs length of the span, in milliseconds
   * @return milliseconds; 0 if the span has ended or the clocks disagree about the elapsed time
   */
  public long remainingMs(DualTimestamp since, long durationMs) {
    return agreesWith(since) ? Math.max(0, durationMs - millisSince(since)) : 0;
  }

  /**
   * Returns whether both clocks have advanced equally since another timestamp. They have not if the
   * VM was suspended or the wall clock was set.
   *
   * @param earlier the other timestamp
   */
  public boolean agreesWith(DualTimestamp earlier) {
    long elapsedMonotonicMs = monotonicMs - earlier.monotonicMs;
    long elapsedWallMs = wallMs - earlier.wallMs;
    return Math.abs(elapsedWallMs - elapsedMonotonicMs) <= MAX_DEVIATION_MS;
  }
}
