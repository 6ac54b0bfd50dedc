package io.samphiregauge.standins;

/** Token bucket that holds the permits of one second. */
final class RateLimit {
  private static final double MS_PER_SECOND = 1_000;

  private double permits = Double.MAX_VALUE;
  private long lastMs;

  /** Takes a permit where there is one. */
  boolean take(long nowMs, int perSecond) {
    permits = Math.min(perSecond, permits + (nowMs - lastMs) * perSecond / MS_PER_SECOND);
    lastMs = nowMs;
    if (permits < 1) {
      return false;
    }
    permits -= 1;
    return true;
  }
}
