package io.samphiregauge.daemon.traffic;

/**
 * Limits retries to a fraction of the requests, so that retries do not overload a failing fleet.
 * Confined to one event loop.
 */
final class RetryBudget {
  private static final double RETRIES_PER_REQUEST = 0.1;
  // Allows a few retries on an entry that has had little traffic.
  private static final double MAX_AVAILABLE = 10;

  private double available = MAX_AVAILABLE;

  void recordRequest() {
    available = Math.min(MAX_AVAILABLE, available + RETRIES_PER_REQUEST);
  }

  /** Takes one retry from the budget; returns false if none is available. */
  boolean tryAcquire() {
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
