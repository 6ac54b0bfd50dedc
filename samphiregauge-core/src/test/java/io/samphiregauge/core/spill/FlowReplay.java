package io.samphiregauge.core.spill;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleBiFunction;

/**
 * Replays demand by failure domain through the flows of many entries, which all see the same old
 * figures. Work is a quantity; each domain works off as much in a millisecond as it has servers.
 */
final class FlowReplay {
  static final int STEP_MS = 10;
  private static final int UPDATE_MS = 250;
  private static final double CROSSING_MS = 15;
  private static final int BASE_SERVERS = 16;

  final Map<String, Double> demand = new TreeMap<>();
  final Map<String, Integer> servers = new TreeMap<>();
  final Map<String, Double> longestWaitMs = new TreeMap<>();
  final List<FlowChange> changesOfFirstEntry = new ArrayList<>();
  private final Map<String, Double> backlogMs = new TreeMap<>();
  private final Map<String, Double> utilization = new TreeMap<>();
  private final Map<String, List<DomainFlows>> entries = new TreeMap<>();
  private final Deque<List<DomainLoad>> history = new ArrayDeque<>();
  private final int ageMs;
  private List<DomainLoad> known = List.of();
  private long nowMs;

  /** Creates domains a, b and c. */
  FlowReplay(int entriesPerDomain, int ageMs) {
    this.ageMs = ageMs;
    for (String name : List.of("a", "b", "c")) {
      demand.put(name, 0.5);
      servers.put(name, BASE_SERVERS);
      backlogMs.put(name, 0.0);
      utilization.put(name, 0.5);
      List<DomainFlows> flows = new ArrayList<>();
      for (int i = 0; i < entriesPerDomain; i++) {
        flows.add(new DomainFlows(name));
      }
      entries.put(name, flows);
    }
  }

  double waitMs(String domain) {
    return backlogMs.get(domain) / Math.max(1, servers.get(domain));
  }

  /** Returns the mean share of a flow over all entries of the domain. */
  double share(String from, String to) {
    return entries.get(from).stream().mapToDouble(flows -> flows.share(to)).average().orElse(0);
  }

  /** Returns how often the flow that turned most changed its direction, on the first entries. */
  int turnsPerFlow() {
    return changesOfFirstEntry.stream()
        .map(change -> change.from() + change.to())
        .distinct()
        .mapToInt(this::turns)
        .max()
        .orElse(0);
  }

  private int turns(String pair) {
    List<Boolean> directions =
        changesOfFirstEntry.stream()
            .filter(change -> pair.equals(change.from() + change.to()))
            .map(change -> change.after() > change.before())
            .toList();
    int turns = 0;
    for (int i = 1; i < directions.size(); i++) {
      turns += directions.get(i).equals(directions.get(i - 1)) ? 0 : 1;
    }
    return turns;
  }

  void run(long durationMs) {
    run(durationMs, this::flowsOfEntries);
  }

  /** Runs with a rule that says which part of a domain's work goes to another one. */
  void run(long durationMs, ToDoubleBiFunction<DomainLoad, DomainLoad> rule) {
    for (long untilMs = nowMs + durationMs; nowMs < untilMs; nowMs += STEP_MS) {
      history.add(loads());
      known = history.size() * STEP_MS > ageMs ? history.remove() : history.getFirst();
      updateEntries();
      Map<String, Double> arrivals = new TreeMap<>();
      for (DomainLoad from : known) {
        double offered = demand.get(from.domain()) * BASE_SERVERS * STEP_MS;
        double rest = offered;
        for (DomainLoad to : known) {
          if (!to.domain().equals(from.domain())) {
            double moved = offered * rule.applyAsDouble(from, to);
            arrivals.merge(to.domain(), moved, Double::sum);
            rest -= moved;
          }
        }
        arrivals.merge(from.domain(), rest, Double::sum);
      }
      arrivals.forEach(this::work);
    }
  }

  private void work(String domain, double arrived) {
    double capacity = (double) servers.get(domain) * STEP_MS;
    double open = backlogMs.get(domain) + arrived;
    backlogMs.put(domain, Math.max(0, open - capacity));
    double used = capacity == 0 ? 1 : Math.min(1, open / capacity);
    utilization.merge(domain, used, (old, now) -> old + 0.1 * (now - old));
    longestWaitMs.merge(domain, waitMs(domain), Math::max);
  }

  private List<DomainLoad> loads() {
    return servers.keySet().stream()
        .map(
            name ->
                new DomainLoad(
                    name,
                    servers.get(name),
                    waitMs(name),
                    utilization.get(name),
                    0,
                    ageMs,
                    true,
                    true))
        .toList();
  }

  private void updateEntries() {
    entries.forEach(
        (domain, flows) -> {
          for (int i = 0; i < flows.size(); i++) {
            long phaseMs = (long) i * STEP_MS % UPDATE_MS;
            if (nowMs % UPDATE_MS == phaseMs) {
              List<FlowChange> changes = flows.get(i).update(known, CROSSING_MS, nowMs);
              changesOfFirstEntry.addAll(i == 0 ? changes : List.of());
            }
          }
        });
  }

  /** A request uses the flow only if that pays for it. */
  private double flowsOfEntries(DomainLoad from, DomainLoad to) {
    boolean pays = from.servers() == 0 || from.waitMs() > to.waitMs() + CROSSING_MS;
    return pays
        ? entries.get(from.domain()).stream()
            .mapToDouble(flows -> flows.openShare(to.domain()))
            .average()
            .orElse(0)
        : 0;
  }

  /** The rule before: each request goes to the shortest known wait, with 6 ms for leaving. */
  double constantCost(DomainLoad from, DomainLoad to) {
    DomainLoad best = from;
    for (DomainLoad load : known) {
      double costMs = load.waitMs() + (load.domain().equals(from.domain()) ? 0 : 6);
      double bestMs = best.waitMs() + (best.domain().equals(from.domain()) ? 0 : 6);
      best = load.servers() > 0 && (best.servers() == 0 || costMs < bestMs) ? load : best;
    }
    return best.domain().equals(to.domain()) ? 1 : 0;
  }
}
