package io.samphiregauge.core.quota;

import io.samphiregauge.core.site.TeamQuota;
import java.util.List;

/** The credit of one team that its lender has not lent yet. Not thread-safe. */
final class QuotaBucket {
  private static final double MS_PER_S = 1_000;

  /** Above this part of the burst, credit is also lent for requests that are still to come. */
  private static final double AHEAD_PART = 0.5;

  /** A longer time to return tells nothing more, since callers have left by then. */
  private static final double MAX_RETRY_MS = 30_000;

  private final double maxDebt;
  private final TeamQuota quota;
  private double level;
  private double promised;
  private long refilledAtMs;

  /**
   * Creates a bucket.
   *
   * @param quota quota of the team
   * @param maxDebt how far more may be lent than has accrued
   * @param sinceMs time since which credit accrues, from none; monotonic, in milliseconds
   */
  QuotaBucket(TeamQuota quota, double maxDebt, long sinceMs) {
    this.quota = quota;
    this.maxDebt = maxDebt;
    this.refilledAtMs = sinceMs;
  }

  TeamQuota quota() {
    return quota;
  }

  double level(long nowMs) {
    refill(nowMs);
    return level;
  }

  /** Replaces the level by that of the previous lender. */
  void setLevel(double newLevel, long nowMs) {
    refill(nowMs);
    level = Math.min(newLevel, quota.burst());
  }

  /**
   * Lends for requests in their order, until one cannot be paid, and then for later requests.
   *
   * @param costs costs of the requests
   * @param ahead credit wanted for later requests
   * @param nowMs monotonic time in milliseconds
   * @return what is lent, and the time after which the first request without credit should return
   */
  LentCredit lend(List<Long> costs, long ahead, long nowMs) {
    refill(nowMs);
    long lent = 0;
    double denied = 0;
    for (long cost : costs) {
      if (denied > 0 || !isPayable(cost)) {
        denied += cost;
        continue;
      }
      level -= cost;
      lent += cost;
    }
    if (denied > 0) {
      double backlog = Math.max(0, -level) + promised;
      promised += denied;
      double retryMs = (backlog + denied) / quota.ratePerS() * MS_PER_S;
      return new LentCredit(lent, (long) Math.min(MAX_RETRY_MS, Math.max(1, retryMs)));
    }
    double spare = level - AHEAD_PART * quota.burst();
    long lentAhead = (long) Math.max(0, Math.min((double) ahead, spare));
    level -= lentAhead;
    return new LentCredit(lent + lentAhead, 0);
  }

  /**
   * Any positive level pays a request up to the allowed debt. With the whole cost required, small
   * requests would use up the credit before a large one could ever be paid.
   */
  private boolean isPayable(long cost) {
    return level > 0 && level + maxDebt >= cost;
  }

  private void refill(long nowMs) {
    long elapsedMs = nowMs - refilledAtMs;
    if (elapsedMs <= 0) {
      return;
    }
    refilledAtMs = nowMs;
    double accrued = quota.ratePerS() * elapsedMs / MS_PER_S;
    level = Math.min(quota.burst(), level + accrued);
    promised = Math.max(0, promised - accrued);
  }

  /** Adopts another quota; more than its burst is lost. */
  QuotaBucket withQuota(TeamQuota newQuota, double newMaxDebt, long nowMs) {
    refill(nowMs);
    QuotaBucket changed = new QuotaBucket(newQuota, newMaxDebt, nowMs);
    changed.level = newQuota.unit() == quota.unit() ? Math.min(level, newQuota.burst()) : 0;
    // Debt from before the change would keep a lowered quota shut for long.
    changed.level = Math.max(changed.level, -newMaxDebt);
    return changed;
  }
}
