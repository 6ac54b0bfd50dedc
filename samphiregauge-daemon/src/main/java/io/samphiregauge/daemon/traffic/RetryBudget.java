package io.samphiregauge.daemon.traffic;

/** Bounds retries to a share of the requests, so that a failing fleet is not loaded further. */
final class RetryBudget {
  private static final double SHARE = 0.1;
  // A few retries stay possible for an entry that has had little traffic.
  private static final double MAX_SAVED = 10;

  private double saved = MAX_SAVED;

  void countRequest() {
    saved = Math.min(MAX_SAVED, saved + SHARE);
  }

  /** Takes one retry from the budget, if one is left. */
  boolean take() {
    if (saved < 1) {
      return false;
    }
    saved -= 1;
    return true;
  }
}
