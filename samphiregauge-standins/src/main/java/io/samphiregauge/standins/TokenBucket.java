package io.samphiregauge.standins;

/** Token bucket that holds the permits of one second. */
final class TokenBucket {
  private static final double MS_PER_SECOND = 1_000;

  private double permits = Double.MAX_VALUE;
  private long lastRefillMs;

  /** Takes a permit where there is one. */
  boolean tryAcquire(long nowMs, int permitsPerSecond) {
    permits =
        Math.min(
            permitsPerSecond, permits + (nowMs - lastRefillMs) * permitsPerSecond / MS_PER_SECOND);
    lastRefillMs = nowMs;
    if (permits < 1) {
      return false;
    }
    permits -= 1;
    return true;
  }
}
