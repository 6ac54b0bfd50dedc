package io.samphiregauge.gateway;

/**
 * A moment on both clocks of the VM. The monotonic clock stands still while a VM is suspended, and
 * the wall clock may be set, so an age is taken as the greater one of the two.
 *
 * @param monotonicMs monotonic time in milliseconds
 * @param wallMs wall-clock time in milliseconds since 1970
 */
public record DualTimestamp(long monotonicMs, long wallMs) {
  /** A moment long before all others. */
  public static final DualTimestamp NEVER =
      new DualTimestamp(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

  private static final long NANOS_PER_MS = 1_000_000;

  /** Returns the present moment. */
  public static DualTimestamp now() {
    return new DualTimestamp(monotonicNowMs(), System.currentTimeMillis());
  }

  /** Returns the present monotonic time, in milliseconds. */
  public static long monotonicNowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  /**
   * Returns an earlier moment.
   *
   * @param ms time before this moment, in milliseconds
   * @return the earlier moment
   */
  public DualTimestamp minusMs(long ms) {
    return new DualTimestamp(monotonicMs - ms, wallMs - ms);
  }

  /**
   * Returns the time since another moment.
   *
   * @param earlier the other moment
   * @return milliseconds; more than have passed if the wall clock was set forward
   */
  public long millisSince(DualTimestamp earlier) {
    return Math.max(monotonicMs - earlier.monotonicMs, wallMs - earlier.wallMs);
  }
}
