package io.samphiregauge.standins;

/** Limits a rate with a token bucket whose capacity is the permits of one second. */
final class TokenBucket {
  private static final double MS_PER_SECOND = 1_000;

  private double permits = Double.MAX_VALUE;
  private long lastRefillMs;

  /** Consumes a permit if one is available, and returns whether it did. */
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
