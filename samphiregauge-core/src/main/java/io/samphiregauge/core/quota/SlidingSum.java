package io.samphiregauge.core.quota;

import java.util.Arrays;

/** The sum of the amounts of about the last window, in constant memory. Not thread-safe. */
final class SlidingSum {
  private static final int PARTS = 8;

  private final long partMs;
  private final long[] amounts = new long[PARTS];
  private long newestPart = Long.MIN_VALUE;
  private long total;

  /**
   * Creates an empty sum.
   *
   * @param windowMs length of the window, in milliseconds
   */
  SlidingSum(long windowMs) {
    this.partMs = Math.max(1, windowMs / PARTS);
  }

  void add(long amount, long nowMs) {
    advance(nowMs);
    amounts[Math.floorMod(newestPart, PARTS)] += amount;
    total += amount;
  }

  long total(long nowMs) {
    advance(nowMs);
    return total;
  }

  void clear() {
    Arrays.fill(amounts, 0);
    total = 0;
  }

  private void advance(long nowMs) {
    long part = Math.floorDiv(nowMs, partMs);
    if (newestPart == Long.MIN_VALUE || part - newestPart >= PARTS) {
      clear();
      newestPart = part;
      return;
    }
    while (newestPart < part) {
      newestPart++;
      int index = Math.floorMod(newestPart, PARTS);
      total -= amounts[index];
      amounts[index] = 0;
    }
  }
}
