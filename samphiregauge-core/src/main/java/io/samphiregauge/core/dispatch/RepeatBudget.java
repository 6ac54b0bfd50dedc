package io.samphiregauge.core.dispatch;

/**
 * This entry's part of the repeats that all entries together may send to a service. Used by one
 * traffic thread.
 *
 * <p>Each entry saves up a share of its own requests, and starts with its part of the slack. No
 * entry needs to know what the others spend.
 */
public final class RepeatBudget {
  /** Part of the allowed ratio that is used; windows slide, and bursts end within them. */
  private static final double USED_SHARE = 0.6;

  /** Entries among which the slack is divided, whatever their number at the moment. */
  private static final int SLACK_SHARES = 16;

  private final double perRequest;
  private final double most;
  private double saved;

  /**
   * Makes a budget.
   *
   * @param ratio repeats that the fleet may send for one request, on average
   * @param slack repeats that the fleet may send in each window beside that share
   */
  public RepeatBudget(double ratio, double slack) {
    perRequest = ratio * USED_SHARE;
    most = Math.max(1, slack / SLACK_SHARES);
    saved = most;
  }

  /** Counts a request that is not a repeat. */
  public void request() {
    saved = Math.min(most, saved + perRequest);
  }

  /**
   * Takes one repeat from the budget.
   *
   * @return whether there was one
   */
  public boolean tryRepeat() {
    if (saved < 1) {
      return false;
    }
    saved -= 1;
    return true;
  }
}
