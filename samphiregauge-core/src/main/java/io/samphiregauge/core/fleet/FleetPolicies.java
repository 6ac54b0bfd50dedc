package io.samphiregauge.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Policies for the number and kind of engines, by name. */
public final class FleetPolicies {
  /** More engines are ordered above this forecast load, so that bursts fit without late answers. */
  private static final double HIGH_LOAD = 0.87;

  /** One engine is given back when the others would stay below this load. */
  private static final double LOW_LOAD = 0.68;

  /** The load after the loss of the failure domain with the most reclaimable engines. */
  private static final double LOAD_AFTER_RECLAIM = 0.95;

  /** Fewer engines have to be enough for so long; an order takes a minute to undo that. */
  private static final long LOW_FOR_MS = 45_000;

  /** A new holder of the lease has no history; what it expects of lengths and caches is high. */
  private static final long WATCH_FIRST_MS = 30_000;

  private static final long NEVER = RolePolicy.Memory.NEVER;

  /** Fewest engines, so that the loss of one leaves a place for its requests. */
  private static final int MIN_ENGINES = 2;

  private FleetPolicies() {}

  /**
   * Follows the forecast with hysteresis, within the operators' limits.
   *
   * @return the policy
   */
  public static FleetPolicyDecision forecast() {
    return FleetPolicies::decide;
  }

  /**
   * Leaves the number of engines as it is.
   *
   * @return the policy
   */
  public static FleetPolicyDecision fixed() {
    return (memory, view) -> new FleetPolicyDecision.Decision(memory, List.of(), List.of());
  }

  private static FleetPolicyDecision.Decision decide(
      FleetPolicyDecision.Memory memory, FleetView view) {
    List<FleetEngine> engines = view.engines().stream().filter(FleetEngine::counts).toList();
    if (engines.isEmpty()) {
      return new FleetPolicyDecision.Decision(memory, starts(view, engines, 1), List.of());
    }
    Capacity capacity = new Capacity(engines.get(0).profile());
    if (memory.watchingSinceMs() == NEVER) {
      return keep(new FleetPolicyDecision.Memory(view.nowMs(), NEVER));
    }
    if (view.nowMs() - memory.watchingSinceMs() < WATCH_FIRST_MS) {
      return keep(memory);
    }
    int missing = missing(capacity, view, engines);
    if (missing > 0) {
      var next = new FleetPolicyDecision.Memory(memory.watchingSinceMs(), NEVER);
      return new FleetPolicyDecision.Decision(next, starts(view, engines, missing), List.of());
    }
    return shrink(memory, view, engines, capacity);
  }

  private static int missing(Capacity capacity, FleetView view, List<FleetEngine> engines) {
    int most = view.limits().getMaxBackends();
    int size = engines.size();
    int atRisk = largestReclaimableGroup(engines);
    while (size < most
        && (load(capacity, view, size) > HIGH_LOAD
            || load(capacity, view, size - atRisk) > LOAD_AFTER_RECLAIM)) {
      size++;
    }
    return size - engines.size();
  }

  private static FleetPolicyDecision.Decision shrink(
      FleetPolicyDecision.Memory memory,
      FleetView view,
      List<FleetEngine> engines,
      Capacity capacity) {
    int fewer = engines.size() - 1;
    int atRisk = largestReclaimableGroup(engines);
    boolean enough =
        fewer >= MIN_ENGINES
            && load(capacity, view, fewer) < LOW_LOAD
            && load(capacity, view, fewer - atRisk) < LOAD_AFTER_RECLAIM;
    long now = view.nowMs();
    if (!enough) {
      return keep(new FleetPolicyDecision.Memory(memory.watchingSinceMs(), NEVER));
    }
    boolean known = memory.lowSinceMs() != NEVER;
    long since = known ? memory.lowSinceMs() : now;
    if (now - since < LOW_FOR_MS) {
      return keep(new FleetPolicyDecision.Memory(memory.watchingSinceMs(), since));
    }
    List<String> drains = surplus(view, engines).map(e -> List.of(e.name())).orElse(List.of());
    return new FleetPolicyDecision.Decision(
        new FleetPolicyDecision.Memory(memory.watchingSinceMs(), now), List.of(), drains);
  }

  private static FleetPolicyDecision.Decision keep(FleetPolicyDecision.Memory memory) {
    return new FleetPolicyDecision.Decision(memory, List.of(), List.of());
  }

  /** Load at the time at which an engine ordered now would serve. */
  private static double load(Capacity capacity, FleetView view, int engines) {
    return capacity.bestLoad(view.later(), Math.max(1, engines));
  }

  /** Takes the dearer kind first, in the failure domain with the most engines. */
  private static Optional<FleetEngine> surplus(FleetView view, List<FleetEngine> engines) {
    Map<String, Integer> perDomain = perDomain(engines, false);
    int reclaimable = reclaimable(engines);
    boolean shareAllows = reclaimable <= view.limits().getReclaimableShare() * (engines.size() - 1);
    return engines.stream()
        .filter(e -> e.state() == FleetEngine.State.SERVING)
        .filter(e -> e.profile().reclaimable() != shareAllows)
        .max(
            Comparator.comparingInt((FleetEngine e) -> perDomain.get(e.profile().failureDomain()))
                .thenComparing(FleetEngine::name));
  }

  private static List<FleetPolicyDecision.Start> starts(
      FleetView view, List<FleetEngine> engines, int count) {
    Map<String, Integer> all = perDomain(engines, false);
    Map<String, Integer> cheap = perDomain(engines, true);
    int reclaimable = reclaimable(engines);
    List<FleetPolicyDecision.Start> starts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int size = engines.size() + i + 1;
      boolean next = reclaimable + 1 <= view.limits().getReclaimableShare() * size;
      Map<String, Integer> spread = next ? cheap : all;
      String domain =
          view.failureDomains().stream()
              .min(
                  Comparator.comparingInt((String d) -> spread.getOrDefault(d, 0))
                      .thenComparingInt(d -> all.getOrDefault(d, 0)))
              .orElseThrow();
      starts.add(new FleetPolicyDecision.Start(domain, next, "forecast_load"));
      all.merge(domain, 1, Integer::sum);
      cheap.merge(domain, next ? 1 : 0, Integer::sum);
      reclaimable += next ? 1 : 0;
    }
    return starts;
  }

  private static int reclaimable(List<FleetEngine> engines) {
    return (int) engines.stream().filter(e -> e.profile().reclaimable()).count();
  }

  private static int largestReclaimableGroup(List<FleetEngine> engines) {
    return perDomain(engines, true).values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  private static Map<String, Integer> perDomain(List<FleetEngine> engines, boolean cheapOnly) {
    Map<String, Integer> counts = new HashMap<>();
    engines.stream()
        .filter(e -> !cheapOnly || e.profile().reclaimable())
        .forEach(e -> counts.merge(e.profile().failureDomain(), 1, Integer::sum));
    return counts;
  }
}
