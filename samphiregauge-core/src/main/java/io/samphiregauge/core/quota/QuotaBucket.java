package io.samphiregauge.core.quota;

import io.samphiregauge.core.site.TeamQuota;
import java.util.List;

/** The credit of one team that its lender has not lent yet. Not thread-safe. */
final class QuotaBucket {
  private static final double MS_PER_S = 1_000;

  /** Above this part of the depth, credit is also lent for requests that are still to come. */
  private static final double AHEAD_PART = 0.5;

  /**
   * Refused requests are told to return one after the other over this time, then from its start
   * again. Credit accrues all the time and is not reserved, so a longer wait would exceed the
   * deadlines of callers that could be served meanwhile.
   */
  private static final double RETURN_SPREAD_S = 2;

  private final TeamQuota quota;
  private final QuotaTolerance tolerance;
  private final double depth;
  private final double maxDebt;
  private double level;
  private double promised;
  private long refilledAtMs;

  /**
   * Creates a bucket.
   *
   * @param quota quota of the team
   * @param tolerance how far it may be exceeded
   * @param sinceMs time since which credit accrues, from none; monotonic, in milliseconds
   */
  QuotaBucket(TeamQuota quota, QuotaTolerance tolerance, long sinceMs) {
    this.quota = quota;
    this.tolerance = tolerance;
    this.depth = tolerance.depth(quota);
    this.maxDebt = tolerance.maxDebt(quota);
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
    level = Math.min(newLevel, depth);
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
      promised += denied;
      if (promised > RETURN_SPREAD_S * quota.ratePerS()) {
        promised = denied;
      }
      double backlog = Math.max(0, -level) + promised;
      double retryMs = backlog / quota.ratePerS() * MS_PER_S;
      return new LentCredit(lent, (long) Math.max(1, retryMs));
    }
    double spare = level - AHEAD_PART * depth;
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
    level = Math.min(depth, level + accrued);
    promised = Math.max(0, promised - accrued);
  }

  /** Adopts another quota; more than its depth is lost. */
  QuotaBucket withQuota(TeamQuota newQuota, long nowMs) {
    refill(nowMs);
    QuotaBucket changed = new QuotaBucket(newQuota, tolerance, nowMs);
    double kept = newQuota.unit() == quota.unit() ? Math.min(level, changed.depth) : 0;
    // Debt from before the change would keep a lowered quota shut for long.
    changed.level = Math.max(kept, -changed.maxDebt);
    return changed;
  }
}
