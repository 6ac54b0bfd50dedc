package io.samphiregauge.core.queue;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which waiting request is sent first: those that can still meet their objective and those
 * that return as they were told, by rank; returns before newcomers; the team that is least over its
 * fair share of its kind; the largest tenth of a kind if it is sent too rarely, then the smallest
 * work, which earns most for the time of the servers; and the closest objective. Requests of a kind
 * or subject that is sent too rarely, and returns, go before all others with a part of the work, so
 * that none starves. Not thread-safe.
 */
final class DispatchOrder {
  /** Part of the work that may be sent first because its group is sent too rarely. */
  static final double FLOOR_SHARE = 0.2;

  /** Number of requests over which the work that was sent is counted. */
  private static final double MAX_COUNTED_REQUESTS = 100;

  private final Map<String, TeamCosts> teamCostsByKind = new HashMap<>();
  private final ServedShares servedShares;
  private double sentCost;
  private double floorCost;

  DispatchOrder(ServedShares servedShares) {
    this.servedShares = servedShares;
  }

  /** A choice and the reason for it. */
  record Choice(Waiting waiting, String reason) {}

  /** Returns the request that is sent first, or empty if none waits. */
  Optional<Choice> first(Collection<Waiting> waiting, long nowMs) {
    Comparator<Waiting> order = at(nowMs);
    if (floorCost <= FLOOR_SHARE * sentCost) {
      Optional<Waiting> owed = waiting.stream().filter(this::isOwed).min(owedBeforeReturns(order));
      if (owed.isPresent()) {
        floorCost += owed.orElseThrow().request().cost();
        return owed.map(choice -> new Choice(choice, "floor"));
      }
    }
    return waiting.stream().min(order).map(choice -> new Choice(choice, "order"));
  }

  private Comparator<Waiting> owedBeforeReturns(Comparator<Waiting> order) {
    return Comparator.comparing((Waiting waiting) -> !servedShares.isOwed(waiting))
        .thenComparing(order);
  }

  /** Records that a request was sent, for whatever reason. */
  void recordSent(Waiting sent, long nowMs) {
    double cost = (double) sent.request().cost();
    teamCosts(sent).add(sent.request().work().team(), cost, nowMs);
    double kept = 1 - 1 / MAX_COUNTED_REQUESTS;
    sentCost = sentCost * kept + cost;
    floorCost *= kept;
  }

  /**
   * Returns whether a request goes behind all that can still meet their objective. One of a team
   * that got less than others does not: the others always have newcomers that are on time.
   */
  boolean isBehind(Waiting waiting, long nowMs) {
    return waiting.isLate(nowMs)
        && waiting.arrival() != Waiting.Arrival.RETURN
        && !teamCosts(waiting).isUnderserved(waiting.request().work().team(), nowMs);
  }

  private int stepsOverShare(Waiting waiting, long nowMs) {
    return teamCosts(waiting).stepsOverShare(waiting.request().work().team(), nowMs);
  }

  private TeamCosts teamCosts(Waiting waiting) {
    return teamCostsByKind.computeIfAbsent(waiting.request().kind(), kind -> new TeamCosts());
  }

  /** Returns the mean cost of the last requests that were sent, in tokens of prefill. */
  double meanSentCost() {
    return Math.max(1, sentCost / MAX_COUNTED_REQUESTS);
  }

  /** Returns whether a request may take one of the places for groups that are sent too rarely. */
  boolean isOwed(Waiting waiting) {
    return waiting.arrival() == Waiting.Arrival.RETURN || servedShares.isOwed(waiting);
  }

  /** Returns the request that gives way when the queue exceeds its bounds. */
  Waiting last(Collection<Waiting> waiting, long nowMs) {
    Comparator<Waiting> order = at(nowMs);
    return waiting.stream()
        .filter(known -> !isOwed(known))
        .max(order)
        .or(() -> waiting.stream().max(order))
        .orElseThrow();
  }

  /** Returns the order, without the places for groups that are sent too rarely. */
  Comparator<Waiting> at(long nowMs) {
    return Comparator.comparing((Waiting waiting) -> isBehind(waiting, nowMs))
        .thenComparingInt(Waiting::rank)
        .thenComparing(Waiting::arrival)
        .thenComparingInt(waiting -> stepsOverShare(waiting, nowMs))
        .thenComparing(waiting -> !servedShares.isLargeOwed(waiting))
        .thenComparingLong(waiting -> waiting.request().cost())
        .thenComparingLong(waiting -> waiting.request().work().objectiveAtMs())
        .thenComparingLong(Waiting::number);
  }
}
