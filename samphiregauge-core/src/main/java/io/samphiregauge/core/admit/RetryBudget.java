package io.samphiregauge.core.admit;

import io.samphiregauge.core.RandomSource;

/**
 * Allows retries up to a share of the requests, so that retries add little load while all else
 * fails. Used by one thread.
 */
public final class RetryBudget {
  /** Retries for one request on average. */
  public static final double RETRIES_PER_REQUEST = 0.1;

  /** Retries that may be saved up, so that an idle entry can retry the first failures. */
  private static final double MAX_TOKENS = 10;

  private static final double INITIAL_TOKENS = 1;
  private static final long BASE_DELAY_MS = 20;
  private static final long MAX_DELAY_MS = 2_000;
  private static final int MAX_BACKOFF_DOUBLINGS = 10;

  /** Part of a shared ratio that is used; its windows slide, and bursts end within them. */
  private static final double RATIO_UTILIZATION = 0.6;

  /** Entries among which a shared slack is divided, whatever their number at the moment. */
  private static final int SLACK_DIVISOR = 16;

  private final double tokensPerRequest;
  private final double maxTokens;
  private double tokens;

  /** Makes the budget of an entry that shares its backend servers with no other limit. */
  public RetryBudget() {
    this(RETRIES_PER_REQUEST, MAX_TOKENS, INITIAL_TOKENS);
  }

  private RetryBudget(double tokensPerRequest, double maxTokens, double tokens) {
    this.tokensPerRequest = tokensPerRequest;
    this.maxTokens = maxTokens;
    this.tokens = tokens;
  }

  /**
   * Makes one entry's part of a budget that all entries share. Each entry saves up a share of its
   * own requests, so that none needs to know what the others spend.
   *
   * @param ratio retries that all entries may send for one request, on average
   * @param slack retries that all entries may send in each window beside that share
   * @return the part
   */
  public static RetryBudget shareOf(double ratio, double slack) {
    double maxTokens = Math.max(1, slack / SLACK_DIVISOR);
    return new RetryBudget(ratio * RATIO_UTILIZATION, maxTokens, maxTokens);
  }

  /** Counts a request that is not a retry. */
  public void recordRequest() {
    tokens = Math.min(maxTokens, tokens + tokensPerRequest);
  }

  /** Takes one retry from the budget, if there is one. */
  public boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /**
   * Returns the wait before a retry: exponential, with full jitter so that retries spread out.
   *
   * @param attempt number of the retry, from 1
   * @param random jitter
   * @return milliseconds, from 1 to 2,000
   */
  public static long backoffMs(int attempt, RandomSource random) {
    if (attempt < 1) {
      throw new IllegalArgumentException("attempts are counted from 1");
    }
    long maxDelayMs =
        Math.min(MAX_DELAY_MS, BASE_DELAY_MS << Math.min(MAX_BACKOFF_DOUBLINGS, attempt - 1));
    return 1 + (long) (random.nextDouble() * (maxDelayMs - 1));
  }
}
