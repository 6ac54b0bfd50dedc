package io.samphiregauge.core.room;

/** Counts the requests that arrived within the last second. Confined to one thread. */
final class ArrivalCounter {
  private static final long SLICE_MS = 100;
  private static final int SLICES = 10;

  private final int[] counts = new int[SLICES];
  private long currentSlice = Long.MIN_VALUE;
  private int total;

  /** Records a request. */
  void record(long nowMs) {
    advance(nowMs);
    counts[index(currentSlice)]++;
    total++;
  }

  /** Returns the number of requests within the last second. */
  int count(long nowMs) {
    advance(nowMs);
    return total;
  }

  /** Clears the slices that have begun since the last call. */
  private void advance(long nowMs) {
    long slice = Math.floorDiv(nowMs, SLICE_MS);
    long firstNew = Math.max(currentSlice + 1, slice - SLICES + 1);
    for (long next = firstNew; next <= slice; next++) {
      total -= counts[index(next)];
      counts[index(next)] = 0;
    }
    currentSlice = Math.max(currentSlice, slice);
  }

  private static int index(long slice) {
    return (int) Math.floorMod(slice, (long) SLICES);
  }
}
