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
}
