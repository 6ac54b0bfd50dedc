package io.samphiregauge.gateway;

/**
 * A moment on both clocks of the VM. The monotonic clock stands still while a VM is suspended, and
 * the wall clock may be set, so an age is taken as the greater one of the two.
 *
 * @param monotonicMs monotonic time in milliseconds
 * @param wallMs wall-clock time in milliseconds since 1970
 */
public record Moment(long monotonicMs, long wallMs) {
  /** A moment long before all others. */
  public static final Moment NEVER = new Moment(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

  private static final long NANOS_PER_MS = 1_000_000;

  /** Returns the present moment. */
  public static Moment now() {
    return new Moment(nowMs(), System.currentTimeMillis());
  }

  /** Returns the present monotonic time, in milliseconds. */
  public static long nowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  /**
   * Returns an earlier moment.
   *
   * @param ms time before this moment, in milliseconds
   * @return the earlier moment
   */
  public Moment minus(long ms) {
    return new Moment(monotonicMs - ms, wallMs - ms);
  }

  /**
   * Returns the time since another moment.
   *
   * @param earlier the other moment
   * @return milliseconds; more than have passed if the wall clock was set forward
   */
  public long since(Moment earlier) {
    return Math.max(monotonicMs - earlier.monotonicMs, wallMs - earlier.wallMs);
  }
}
