package io.samphiregauge.core.admit;

import io.samphiregauge.core.RandomSource;

/**
 * Token bucket that limits retries to a fraction of the requests, so that retries add little load
 * during an outage. Not thread-safe.
 */
public final class RetryBudget {
  /** Average number of retries per request. */
  public static final double RETRIES_PER_REQUEST = 0.1;

  /** Bucket capacity, so that an entry can retry the first failures after an idle period. */
  private static final double MAX_TOKENS = 10;

  private static final double INITIAL_TOKENS = 1;
  private static final long BASE_DELAY_MS = 20;
  private static final long MAX_DELAY_MS = 2_000;
  private static final int MAX_BACKOFF_DOUBLINGS = 10;

  private double tokens = INITIAL_TOKENS;

  /** Adds tokens for a request that is not a retry. */
  public void recordRequest() {
    tokens = Math.min(MAX_TOKENS, tokens + RETRIES_PER_REQUEST);
  }

  /** Consumes one token, if available, and returns whether the retry is allowed. */
  public boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /**
   * Returns the delay before a retry: exponential backoff with full jitter.
   *
   * @param attempt number of the retry, from 1
   * @param random source of the jitter
   * @return delay in milliseconds, at least 1 and less than 2,000
   */
  public static long backoffMs(int attempt, RandomSource random) {
    if (attempt < 1) {
      throw new IllegalArgumentException("attempt must be at least 1, got " + attempt);
    }
    long maxDelayMs =
        Math.min(MAX_DELAY_MS, BASE_DELAY_MS << Math.min(MAX_BACKOFF_DOUBLINGS, attempt - 1));
    return 1 + (long) (random.nextDouble() * (maxDelayMs - 1));
  }
}
