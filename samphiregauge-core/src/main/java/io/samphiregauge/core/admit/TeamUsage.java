package io.samphiregauge.core.admit;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the recent cost of each team's requests in engine time, decayed exponentially, and detects
 * teams whose cost exceeds their weighted share.
 */
final class TeamUsage {
  /** Time constant of the decay; short, so that a team soon regains a share that others used. */
  private static final double DECAY_TIME_CONSTANT_MS = 4_000;

  /** Minimum decayed cost of a team that counts as active, in milliseconds of engine time. */
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

  void recordCost(String team, double weight, double cost, long nowMs) {
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

  /** Sums the weights of the active teams, at most once per quarter of the time constant. */
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
