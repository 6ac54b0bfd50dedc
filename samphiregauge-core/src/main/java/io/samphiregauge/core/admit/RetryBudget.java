package io.samphiregauge.core.admit;

import io.samphiregauge.core.RandomSource;

/**
 * Allows retries up to a tenth of the requests, so that retries add under 10% load while all else
 * fails. Used by one thread.
 */
public final class RetryBudget {
  /** Retries for one request on average. */
  public static final double RETRIES_PER_REQUEST = 0.1;

  /** Retries that may be saved up, so that an idle entry can retry the first failures. */
  private static final double MAX_SAVED = 10;

  private static final double SAVED_AT_START = 1;
  private static final long BASE_DELAY_MS = 20;
  private static final long MAX_DELAY_MS = 2_000;
  private static final int MAX_DOUBLINGS = 10;

  private double saved = SAVED_AT_START;

  /** Counts a request that is not a retry. */
  public void request() {
    saved = Math.min(MAX_SAVED, saved + RETRIES_PER_REQUEST);
  }

  /** Takes one retry from the budget, if there is one. */
  public boolean tryRetry() {
    if (saved < 1) {
      return false;
    }
    saved -= 1;
    return true;
  }

  /**
   * Returns the wait before a retry: exponential, with full jitter so that retries spread out.
   *
   * @param attempt number of the retry, from 1
   * @param random jitter
   * @return milliseconds, from 1 to 2,000
   */
  public static long delayMs(int attempt, RandomSource random) {
    if (attempt < 1) {
      throw new IllegalArgumentException("attempts are counted from 1");
    }
    long most = Math.min(MAX_DELAY_MS, BASE_DELAY_MS << Math.min(MAX_DOUBLINGS, attempt - 1));
    return 1 + (long) (random.nextFraction() * (most - 1));
  }
}
