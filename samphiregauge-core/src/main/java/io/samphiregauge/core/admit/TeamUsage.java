package io.samphiregauge.core.admit;

import java.util.HashMap;
import java.util.Map;

/** Recent service by team, to tell which teams have had more than their share. */
final class TeamUsage {
  /** Service is forgotten with this time constant, so that a lent share is soon back. */
  private static final double FORGET_MS = 4_000;

  /** A team counts as active while it has this share of its last service left. */
  private static final double ACTIVE_COST = 1;

  private static final class Usage {
    private double weight;
    private double cost;
    private long atMs;

    private double at(long nowMs) {
      return cost * StrictMath.exp(-(nowMs - atMs) / FORGET_MS);
    }
  }

  private final Map<String, Usage> teams = new HashMap<>();
  private final Usage all = new Usage();
  private double activeWeight;
  private long countedMs = Long.MIN_VALUE;

  void served(String team, double weight, double cost, long nowMs) {
    Usage usage = teams.computeIfAbsent(team, t -> new Usage());
    usage.weight = weight;
    add(usage, cost, nowMs);
    add(all, cost, nowMs);
  }

  boolean overShare(String team, long nowMs) {
    Usage usage = teams.get(team);
    if (usage == null) {
      return false;
    }
    count(nowMs);
    return usage.at(nowMs) * activeWeight > all.at(nowMs) * usage.weight;
  }

  private static void add(Usage usage, double cost, long nowMs) {
    usage.cost = usage.at(nowMs) + cost;
    usage.atMs = nowMs;
  }

  /** Sums the weights of the active teams, at most once in each time constant. */
  private void count(long nowMs) {
    if (countedMs != Long.MIN_VALUE && nowMs - countedMs < FORGET_MS / 4) {
      return;
    }
    countedMs = nowMs;
    teams.values().removeIf(usage -> usage.at(nowMs) < ACTIVE_COST);
    activeWeight = teams.values().stream().mapToDouble(usage -> usage.weight).sum();
  }
}
