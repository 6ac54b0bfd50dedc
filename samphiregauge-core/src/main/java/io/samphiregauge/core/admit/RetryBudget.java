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
  private static final double MAX_SAVED = 10;

  private static final double SAVED_AT_START = 1;
  private static final long BASE_DELAY_MS = 20;
  private static final long MAX_DELAY_MS = 2_000;
  private static final int MAX_DOUBLINGS = 10;

  /** Part of a shared ratio that is used; its windows slide, and bursts end within them. */
  private static final double USED_SHARE = 0.6;

  /** Entries among which a shared slack is divided, whatever their number at the moment. */
  private static final int SLACK_SHARES = 16;

  private final double perRequest;
  private final double mostSaved;
  private double saved;

  /** Makes the budget of an entry that shares its backend servers with no other limit. */
  public RetryBudget() {
    this(RETRIES_PER_REQUEST, MAX_SAVED, SAVED_AT_START);
  }

  private RetryBudget(double perRequest, double mostSaved, double saved) {
    this.perRequest = perRequest;
    this.mostSaved = mostSaved;
    this.saved = saved;
  }

  /**
   * Makes one entry's part of a budget that all entries share. Each entry saves up a share of its
   * own requests, so that none needs to know what the others spend.
   *
   * @param ratio retries that all entries may send for one request, on average
   * @param slack retries that all entries may send in each window beside that share
   * @return the part
   */
  public static RetryBudget partOf(double ratio, double slack) {
    double most = Math.max(1, slack / SLACK_SHARES);
    return new RetryBudget(ratio * USED_SHARE, most, most);
  }

  /** Counts a request that is not a retry. */
  public void request() {
    saved = Math.min(mostSaved, saved + perRequest);
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
    return 1 + (long) (random.nextDouble() * (most - 1));
  }
}
