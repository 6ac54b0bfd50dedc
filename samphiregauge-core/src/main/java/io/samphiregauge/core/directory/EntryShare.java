package io.samphiregauge.core.directory;

/**
 * Decides which part of its usual share of the callers an entry asks for: all of it while it is
 * well, less while it is busy, slow or without contact to the store, and never none, so that
 * callers still find it when all entries are in trouble. Not thread-safe.
 *
 * <p>The share falls at once and rises slowly: callers keep an answer of the directory for seconds,
 * so that those who were sent away come back together if it rose at once.
 */
public final class EntryShare {
  /** Smallest share of an entry that is ready. */
  public static final double MIN_SHARE = 0.25;

  /** Use of a resource up to which an entry takes its full share. */
  private static final double CALM_BUSY = 0.5;

  /** Use of a resource at which an entry takes its smallest share; the target is 0.8 at most. */
  private static final double FULL_BUSY = 0.8;

  /** Lag of the event loop that a pass over many events causes on a sound VM. */
  private static final long CALM_LAG_MS = 100;

  /** Lag at which the strictest latency objectives of the deployments, 150 ms, are missed twice. */
  private static final long FULL_LAG_MS = 400;

  /** Staleness that the configuration reaches while all reads of the store succeed. */
  private static final double CALM_STALENESS = 0.85;

  /** Rise per second; a full rise takes longer than callers keep an answer. */
  private static final double RISE_PER_S = 0.2;

  private double share = 1;
  private long updatedAtMs;

  /**
   * Creates the share of an entry.
   *
   * @param nowMs monotonic time in milliseconds
   */
  public EntryShare(long nowMs) {
    this.updatedAtMs = nowMs;
  }

  /**
   * Returns the share after a new measurement.
   *
   * @param condition condition of the entry
   * @param nowMs monotonic time in milliseconds
   * @return the share, from {@link #MIN_SHARE} to 1
   */
  public double update(EntryCondition condition, long nowMs) {
    double rise = RISE_PER_S * (double) (nowMs - updatedAtMs) / 1_000;
    updatedAtMs = nowMs;
    share = Math.min(target(condition), share + rise);
    return share;
  }

  private static double target(EntryCondition condition) {
    double byLoad =
        Math.min(
            falling(condition.busy(), CALM_BUSY, FULL_BUSY),
            falling((double) condition.lagMs(), CALM_LAG_MS, FULL_LAG_MS));
    return Math.min(byLoad, falling(condition.staleness(), CALM_STALENESS, 1));
  }

  /** Returns 1 up to a calm value, the smallest share from a full one on, and a line between. */
  private static double falling(double value, double calm, double full) {
    double excess = Math.min(1, Math.max(0, (value - calm) / (full - calm)));
    return 1 - (1 - MIN_SHARE) * excess;
  }
}
