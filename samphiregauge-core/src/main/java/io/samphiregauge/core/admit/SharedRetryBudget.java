package io.samphiregauge.core.admit;

import java.util.stream.LongStream;

/**
 * One entry's share of a limit on retries that all entries have in common: in any window, retries
 * may number at most a ratio of the requests plus a slack. Not thread-safe.
 *
 * <p>Load pattern: an engine is lost while it generates tens of responses, and all of them need a
 * retry at once. The entry may use what its requests of the whole last window have earned, so such
 * a peak is served, and a permanent failure still adds no more than the ratio. Each entry keeps its
 * share of the limit by itself, so entries do not need to exchange their counts.
 */
public final class SharedRetryBudget {
  /** Part of the ratio that is used: windows slide, and requests may be few where retries end. */
  private static final double RATIO_UTILIZATION = 0.8;

  /** Part of the slack that is used: an entry that restarts has forgotten its earlier retries. */
  private static final double SLACK_UTILIZATION = 0.5;

  /** Smallest divisor of the slack: an entry that has just started knows no other entry yet. */
  private static final int MIN_ENTRIES = 16;

  private static final int SLICES_PER_WINDOW = 20;

  /** One slice more than a window, since the current slice is incomplete. */
  private static final int SLICES = SLICES_PER_WINDOW + 1;

  private final double ratio;
  private final double slack;
  private final long sliceMs;
  private final long[] requests = new long[SLICES];
  private final long[] retries = new long[SLICES];
  private long currentSlice = Long.MIN_VALUE;

  /**
   * Creates the budget of an entry that has served no requests.
   *
   * @param ratio retries per request
   * @param slack retries of all entries per window in addition to the ratio
   * @param windowMs length of the window in milliseconds, at least 20
   */
  public SharedRetryBudget(double ratio, double slack, long windowMs) {
    if (windowMs < SLICES_PER_WINDOW) {
      throw new IllegalArgumentException("windowMs must be at least 20, got " + windowMs);
    }
    this.ratio = ratio;
    this.slack = slack;
    this.sliceMs = windowMs / SLICES_PER_WINDOW;
  }

  /**
   * Records a request that is not a retry.
   *
   * @param nowMs monotonic time in milliseconds
   */
  public void recordRequest(long nowMs) {
    advance(nowMs);
    requests[index(currentSlice)]++;
  }

  /**
   * Uses one retry if the budget allows it.
   *
   * @param entries number of entries that share the limit, as far as known
   * @param nowMs monotonic time in milliseconds
   * @return whether the retry is allowed
   */
  public boolean tryAcquire(int entries, long nowMs) {
    advance(nowMs);
    double earned =
        ratio * RATIO_UTILIZATION * LongStream.of(requests).sum()
            + slack * SLACK_UTILIZATION / Math.max(MIN_ENTRIES, entries);
    if (LongStream.of(retries).sum() + 1 > Math.max(1, earned)) {
      return false;
    }
    retries[index(currentSlice)]++;
    return true;
  }

  /** Clears the slices that have begun since the last call. */
  private void advance(long nowMs) {
    long slice = Math.floorDiv(nowMs, sliceMs);
    long firstNew = Math.max(currentSlice + 1, slice - SLICES + 1);
    for (long next = firstNew; next <= slice; next++) {
      requests[index(next)] = 0;
      retries[index(next)] = 0;
    }
    currentSlice = Math.max(currentSlice, slice);
  }

  private static int index(long slice) {
    return (int) Math.floorMod(slice, (long) SLICES);
  }
}
