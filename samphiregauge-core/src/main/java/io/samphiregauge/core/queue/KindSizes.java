package io.samphiregauge.core.queue;

/**
 * Learns the size above which one tenth of the requests of a kind lie. Each larger request raises
 * the limit nine times as much as a smaller one lowers it. Not thread-safe.
 */
final class KindSizes {
  private static final double STEP_DOWN = 0.005;
  private static final double STEP_UP = 9 * STEP_DOWN;

  private double largeLimit;

  void record(long size) {
    if (largeLimit == 0) {
      largeLimit = (double) size;
    }
    largeLimit *= isLarge(size) ? 1 + STEP_UP : 1 - STEP_DOWN;
  }

  boolean isLarge(long size) {
    return size > largeLimit;
  }
}
