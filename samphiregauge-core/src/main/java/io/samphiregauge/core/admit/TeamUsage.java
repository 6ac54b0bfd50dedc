package io.samphiregauge.core.admit;

import java.util.HashMap;
import java.util.Map;

/** Recent service by team, to tell which teams have had more than their share. */
final class TeamUsage {
  /** Service is forgotten with this time constant, so that a lent share is soon back. */
  private static final double DECAY_TIME_CONSTANT_MS = 4_000;

  /** A team counts as active while it has this share of its last service left. */
  private static final double MIN_ACTIVE_COST = 1;

  private static final class Usage {
    private double weight;
    private double cost;
    private long updatedMs;

    private double decayedCost(long nowMs) {
      return cost * StrictMath.exp(-(nowMs - updatedMs) / DECAY_TIME_CONSTANT_MS);
    }
  }

  private final Map<String, Usage> teams = new HashMap<>();
  private final Usage total = new Usage();
  private double activeWeight;
  private long weightsUpdatedMs = Long.MIN_VALUE;

  void recordService(String team, double weight, double cost, long nowMs) {
    Usage usage = teams.computeIfAbsent(team, t -> new Usage());
    usage.weight = weight;
    add(usage, cost, nowMs);
    add(total, cost, nowMs);
  }

  boolean exceedsShare(String team, long nowMs) {
    Usage usage = teams.get(team);
    if (usage == null) {
      return false;
    }
    updateActiveWeight(nowMs);
    return usage.decayedCost(nowMs) * activeWeight > total.decayedCost(nowMs) * usage.weight;
  }

  private static void add(Usage usage, double cost, long nowMs) {
    usage.cost = usage.decayedCost(nowMs) + cost;
    usage.updatedMs = nowMs;
  }

  /** Sums the weights of the active teams, at most once in each time constant. */
  private void updateActiveWeight(long nowMs) {
    if (weightsUpdatedMs != Long.MIN_VALUE
        && nowMs - weightsUpdatedMs < DECAY_TIME_CONSTANT_MS / 4) {
      return;
    }
    weightsUpdatedMs = nowMs;
    teams.values().removeIf(usage -> usage.decayedCost(nowMs) < MIN_ACTIVE_COST);
    activeWeight = teams.values().stream().mapToDouble(usage -> usage.weight).sum();
  }
}
