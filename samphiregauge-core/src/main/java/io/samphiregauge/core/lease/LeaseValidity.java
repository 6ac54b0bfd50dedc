package io.samphiregauge.core.lease;

import io.samphiregauge.core.DualTimestamp;

/**
 * The time span in which the holder of a lease may use it; immutable.
 *
 * @param since time at which the lease record was first sent
 * @param durationMs length of the span, in milliseconds
 */
public record LeaseValidity(DualTimestamp since, long durationMs) {
  /**
   * Returns how much of the span is left.
   *
   * @param now current time
   * @return milliseconds; 0 if the span has ended, or if the VM was suspended or the wall clock set
   *     since it began
   */
  public long remainingMs(DualTimestamp now) {
    return now.remainingMs(since, durationMs);
  }

  /** Returns the end of the span on the monotonic clock, in milliseconds. */
  public long endMs() {
    return since.monotonicMs() + durationMs;
  }
}
