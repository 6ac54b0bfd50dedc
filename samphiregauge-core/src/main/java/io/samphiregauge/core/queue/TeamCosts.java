package io.samphiregauge.core.queue;

import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.Map;

/**
 * The recent cost of each team's requests at one service, which fades within seconds. Sending first
 * for the teams that are least over an equal share gives each team its max-min fair share. Not
 * thread-safe.
 */
final class TeamCosts {
  /** Short, so that a team soon regains a share that others used. */
  private static final double TIME_CONSTANT_MS = 4_000;

  /** Teams without a request for this time are forgotten; their cost has faded to 1 in 150. */
  private static final long RETENTION_MS = 20_000;

  /** Cost below which a team does not count as active, in tokens of prefill. */
  private static final double MIN_ACTIVE_COST = 0.5;

  private static final double UNDERSERVED_SHARE = 0.7;

  private static final double LOG_STEP = StrictMath.log(1.03);

  private final Map<String, Cost> costs = new HashMap<>();
  private long forgottenAtMs = Long.MIN_VALUE;
  private long updatedAtMs = Long.MIN_VALUE;
  private double meanCost;
  private double highestCost;

  private record Cost(double amount, long atMs) {
    double fadedMs(long nowMs) {
      return amount * StrictMath.exp(-(nowMs - atMs) / TIME_CONSTANT_MS);
    }
  }

  double of(String team, long nowMs) {
    return costs.getOrDefault(team, new Cost(0, nowMs)).fadedMs(nowMs);
  }

  /**
   * Returns how far a team is over an equal share of the recent cost, in steps of 3 in 100; 0 for
   * all teams that are not.
   */
  int stepsOverShare(String team, long nowMs) {
    update(nowMs);
    double ratio = of(team, nowMs) / Math.max(MIN_ACTIVE_COST, meanCost);
    return ratio <= 1 ? 0 : (int) Math.ceil(StrictMath.log(ratio) / LOG_STEP);
  }

  /** Returns whether a team got clearly less than the team that got most. */
  boolean isUnderserved(String team, long nowMs) {
    update(nowMs);
    return of(team, nowMs) < UNDERSERVED_SHARE * highestCost;
  }

  private void update(long nowMs) {
    if (updatedAtMs == nowMs) {
      return;
    }
    updatedAtMs = nowMs;
    DoubleSummaryStatistics active =
        costs.values().stream()
            .mapToDouble(cost -> cost.fadedMs(nowMs))
            .filter(cost -> cost >= MIN_ACTIVE_COST)
            .summaryStatistics();
    meanCost = active.getAverage();
    highestCost = Math.max(0, active.getMax());
  }

  void add(String team, double cost, long nowMs) {
    costs.put(team, new Cost(of(team, nowMs) + cost, nowMs));
    if (nowMs - RETENTION_MS > forgottenAtMs) {
      forgottenAtMs = nowMs;
      costs.values().removeIf(known -> known.atMs() < nowMs - RETENTION_MS);
    }
  }
}
