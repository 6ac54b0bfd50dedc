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

  /**
   * Safety factor on a shared ratio, which is enforced over sliding windows. After a burst of
   * requests ends, tokens that it earned can be spent in a window with few of its requests.
   */
  private static final double RATIO_UTILIZATION = 0.6;

  /**
   * Divisor of a shared slack that gives the share of one entry; does not depend on the current
   * number of entries.
   */
  private static final int SLACK_DIVISOR = 16;

  private final double tokensPerRequest;
  private final double maxTokens;
  private double tokens;

  /** Creates the budget of an entry whose backend servers have no shared retry limit. */
  public RetryBudget() {
    this(RETRIES_PER_REQUEST, MAX_TOKENS, INITIAL_TOKENS);
  }

  private RetryBudget(double tokensPerRequest, double maxTokens, double tokens) {
    this.tokensPerRequest = tokensPerRequest;
    this.maxTokens = maxTokens;
    this.tokens = tokens;
  }

  /**
   * Creates the share of one entry in a budget of all entries. Each entry earns tokens from its own
   * requests only, so that entries do not need to exchange their token counts.
   *
   * @param ratio average number of retries per request, across all entries
   * @param slack retries that all entries may send per window in addition to the ratio
   * @return the budget of one entry
   */
  public static RetryBudget shareOf(double ratio, double slack) {
    double maxTokens = Math.max(1, slack / SLACK_DIVISOR);
    return new RetryBudget(ratio * RATIO_UTILIZATION, maxTokens, maxTokens);
  }

  /** Adds tokens for a request that is not a retry. */
  public void recordRequest() {
    tokens = Math.min(maxTokens, tokens + tokensPerRequest);
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
