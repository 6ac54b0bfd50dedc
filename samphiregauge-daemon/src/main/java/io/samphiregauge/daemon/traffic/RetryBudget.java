package io.samphiregauge.daemon.traffic;

/** Bounds retries to a share of the requests, so that a failing fleet is not loaded further. */
final class RetryBudget {
  private static final double RETRIES_PER_REQUEST = 0.1;
  // A few retries stay possible for an entry that has had little traffic.
  private static final double MAX_AVAILABLE = 10;

  private double available = MAX_AVAILABLE;

  void recordRequest() {
    available = Math.min(MAX_AVAILABLE, available + RETRIES_PER_REQUEST);
  }

  /** Takes one retry from the budget, if one is left. */
  boolean tryAcquire() {
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
