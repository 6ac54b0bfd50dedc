package io.samphiregauge.core.duty;

/**
 * Decides when the counts of a usage window are final. Not thread-safe.
 *
 * <p>Load pattern: the store is down for seconds, and no process can write its counts. When it is
 * back, windows whose wait has passed would be sealed at once, before the processes have written
 * what they counted meanwhile.
 */
public final class SealTiming {
  /**
   * Maximum time to wait for missing counts, as a fraction of the time from the end of a window to
   * the due time of its report.
   */
  private static final double MAX_WAIT_SHARE = 0.7;

  /** Time after an outage of the store in which all processes write their counts. */
  static final long SETTLE_MS = 2_000;

  private final long reportDueMs;
  private boolean failing;
  private long regainedAtMs;

  /**
   * Creates the timing of a process that has not called the store.
   *
   * @param reportDueMs time from the end of a window until its report is due, in milliseconds
   */
  public SealTiming(long reportDueMs) {
    this.reportDueMs = reportDueMs;
    this.regainedAtMs = Long.MIN_VALUE / 2;
  }

  /**
   * Records the result of a call to the store.
   *
   * @param succeeded whether the store responded
   * @param nowMs monotonic time in milliseconds
   */
  public void recordCall(boolean succeeded, long nowMs) {
    if (succeeded && failing) {
      regainedAtMs = nowMs;
    }
    failing = !succeeded;
  }

  /**
   * Returns whether a window may be sealed: if its counts are complete, or if waiting any longer
   * for processes that cannot write might make its report late.
   *
   * @param complete whether all processes have written their counts
   * @param sinceEndMs time since the end of the window, in milliseconds
   * @param nowMs monotonic time in milliseconds
   */
  public boolean maySeal(boolean complete, long sinceEndMs, long nowMs) {
    boolean waitedLongEnough =
        sinceEndMs >= reportDueMs * MAX_WAIT_SHARE && nowMs - regainedAtMs >= SETTLE_MS;
    return complete || waitedLongEnough;
  }
}
