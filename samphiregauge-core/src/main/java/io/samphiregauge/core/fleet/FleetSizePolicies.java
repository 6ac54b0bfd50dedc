package io.samphiregauge.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Creates the policies for the number and kind of engines. */
public final class FleetSizePolicies {
  /** Engines are added above this forecast load; bursts then cause no late responses. */
  private static final double SCALE_UP_LOAD = 0.87;

  /** One engine is removed if the others would stay below this forecast load. */
  private static final double SCALE_DOWN_LOAD = 0.68;

  /** Maximum load after the reclaim of the largest group of reclaimable engines in one domain. */
  private static final double MAX_LOAD_AFTER_RECLAIM = 0.95;

  /** Time for which fewer engines must suffice before one is removed; a new one takes a minute. */
  private static final long SCALE_DOWN_DELAY_MS = 45_000;

  /**
   * Time for which a new lease holder only observes. Without history, its estimates of lengths and
   * caches overstate the demand.
   */
  private static final long OBSERVATION_MS = 30_000;

  private static final long NEVER = RolePolicy.History.NEVER;

  /** Minimum number of engines, so that another one can take over the requests of a failed one. */
  private static final int MIN_ENGINES = 2;

  private FleetSizePolicies() {}

  /**
   * Creates a policy that follows the forecast load with hysteresis, within the operators' limits.
   *
   * @return the policy
   */
  public static FleetSizePolicy forecast() {
    return FleetSizePolicies::decide;
  }

  /**
   * Creates a policy that never changes the number of engines.
   *
   * @return the policy
   */
  public static FleetSizePolicy fixed() {
    return (history, view) -> new FleetSizePolicy.Decision(history, List.of(), List.of());
  }

  private static FleetSizePolicy.Decision decide(FleetSizePolicy.History history, FleetView view) {
    List<FleetEngine> engines = view.engines().stream().filter(FleetEngine::isRetained).toList();
    if (engines.isEmpty()) {
      return new FleetSizePolicy.Decision(history, enginesToStart(view, engines, 1), List.of());
    }
    FleetCapacity capacity = new FleetCapacity(engines.get(0).profile());
    if (history.observingSinceMs() == NEVER) {
      return unchanged(new FleetSizePolicy.History(view.nowMs(), NEVER));
    }
    if (view.nowMs() - history.observingSinceMs() < OBSERVATION_MS) {
      return unchanged(history);
    }
    int missingEngines = missingEngines(capacity, view, engines);
    if (missingEngines > 0) {
      var nextHistory = new FleetSizePolicy.History(history.observingSinceMs(), NEVER);
      return new FleetSizePolicy.Decision(
          nextHistory, enginesToStart(view, engines, missingEngines), List.of());
    }
    return scaleDown(history, view, engines, capacity);
  }

  private static int missingEngines(
      FleetCapacity capacity, FleetView view, List<FleetEngine> engines) {
    int maxEngines = view.limits().getMaxBackends();
    int size = engines.size();
    int reclaimableAtRisk = largestReclaimableGroup(engines);
    while (size < maxEngines
        && (forecastLoad(capacity, view, size) > SCALE_UP_LOAD
            || forecastLoad(capacity, view, size - reclaimableAtRisk) > MAX_LOAD_AFTER_RECLAIM)) {
      size++;
    }
    return size - engines.size();
  }

  private static FleetSizePolicy.Decision scaleDown(
      FleetSizePolicy.History history,
      FleetView view,
      List<FleetEngine> engines,
      FleetCapacity capacity) {
    int smallerSize = engines.size() - 1;
    int reclaimableAtRisk = largestReclaimableGroup(engines);
    boolean smallerSizeSuffices =
        smallerSize >= MIN_ENGINES
            && forecastLoad(capacity, view, smallerSize) < SCALE_DOWN_LOAD
            && forecastLoad(capacity, view, smallerSize - reclaimableAtRisk)
                < MAX_LOAD_AFTER_RECLAIM;
    long nowMs = view.nowMs();
    if (!smallerSizeSuffices) {
      return unchanged(new FleetSizePolicy.History(history.observingSinceMs(), NEVER));
    }
    boolean alreadyOversized = history.oversizedSinceMs() != NEVER;
    long sinceMs = alreadyOversized ? history.oversizedSinceMs() : nowMs;
    if (nowMs - sinceMs < SCALE_DOWN_DELAY_MS) {
      return unchanged(new FleetSizePolicy.History(history.observingSinceMs(), sinceMs));
    }
    List<String> drains =
        engineToRemove(view, engines).map(e -> List.of(e.name())).orElse(List.of());
    return new FleetSizePolicy.Decision(
        new FleetSizePolicy.History(history.observingSinceMs(), nowMs), List.of(), drains);
  }

  private static FleetSizePolicy.Decision unchanged(FleetSizePolicy.History history) {
    return new FleetSizePolicy.Decision(history, List.of(), List.of());
  }

  /** Returns the load forecast for the time at which an engine ordered now would serve. */
  private static double forecastLoad(FleetCapacity capacity, FleetView view, int engines) {
    return capacity.minLoadWithBestRoles(view.startupForecast(), Math.max(1, engines));
  }

  /**
   * Selects a serving engine in the failure domain with the most engines. On-demand engines cost
   * more and go first, unless the share of reclaimable engines would then exceed its limit.
   */
  private static Optional<FleetEngine> engineToRemove(FleetView view, List<FleetEngine> engines) {
    Map<String, Integer> enginesByDomain = countByDomain(engines, false);
    int reclaimable = countReclaimable(engines);
    boolean keepReclaimable =
        reclaimable <= view.limits().getReclaimableShare() * (engines.size() - 1);
    return engines.stream()
        .filter(e -> e.state() == FleetEngine.State.SERVING)
        .filter(e -> e.profile().reclaimable() != keepReclaimable)
        .max(
            Comparator.comparingInt(
                    (FleetEngine e) -> enginesByDomain.get(e.profile().failureDomain()))
                .thenComparing(FleetEngine::name));
  }

  private static List<FleetSizePolicy.Start> enginesToStart(
      FleetView view, List<FleetEngine> engines, int count) {
    Map<String, Integer> allByDomain = countByDomain(engines, false);
    Map<String, Integer> reclaimableByDomain = countByDomain(engines, true);
    int reclaimable = countReclaimable(engines);
    List<FleetSizePolicy.Start> starts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int size = engines.size() + i + 1;
      boolean nextReclaimable = reclaimable + 1 <= view.limits().getReclaimableShare() * size;
      Map<String, Integer> domainCounts = nextReclaimable ? reclaimableByDomain : allByDomain;
      String domain =
          view.failureDomains().stream()
              .min(
                  Comparator.comparingInt((String d) -> domainCounts.getOrDefault(d, 0))
                      .thenComparingInt(d -> allByDomain.getOrDefault(d, 0)))
              .orElseThrow();
      starts.add(new FleetSizePolicy.Start(domain, nextReclaimable, "forecast_load"));
      allByDomain.merge(domain, 1, Integer::sum);
      reclaimableByDomain.merge(domain, nextReclaimable ? 1 : 0, Integer::sum);
      reclaimable += nextReclaimable ? 1 : 0;
    }
    return starts;
  }

  private static int countReclaimable(List<FleetEngine> engines) {
    return (int) engines.stream().filter(e -> e.profile().reclaimable()).count();
  }

  private static int largestReclaimableGroup(List<FleetEngine> engines) {
    return countByDomain(engines, true).values().stream()
        .mapToInt(Integer::intValue)
        .max()
        .orElse(0);
  }

  private static Map<String, Integer> countByDomain(
      List<FleetEngine> engines, boolean reclaimableOnly) {
    Map<String, Integer> counts = new HashMap<>();
    engines.stream()
        .filter(e -> !reclaimableOnly || e.profile().reclaimable())
        .forEach(e -> counts.merge(e.profile().failureDomain(), 1, Integer::sum));
    return counts;
  }
}
