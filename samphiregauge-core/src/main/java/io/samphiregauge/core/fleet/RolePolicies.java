package io.samphiregauge.core.fleet;

import io.samphiregauge.schema.order.EngineRole;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Creates the policies for engine roles. */
public final class RolePolicies {
  /** Below this load, routing among mixed engines handles any ratio of prompt to output tokens. */
  private static final double MIN_LOAD_FOR_ROLE_CHANGE = 0.7;

  /** Time for which a new role is expected to be useful; swings of the demand last minutes. */
  private static final double BENEFIT_DURATION_S = 60;

  /** Time in which an engine drains and changes its role; it does part of its work meanwhile. */
  private static final double CHANGE_DURATION_S = 12;

  /** Minimum ratio of the benefit of a change to its cost. */
  private static final double MIN_BENEFIT_TO_COST = 1.5;

  /**
   * Time for which a change must be needed before it is made; bursts of long prompts are shorter.
   */
  private static final long CHANGE_DELAY_MS = 3_000;

  /** Minimum time between changes, in which the last change takes effect. */
  private static final long MIN_CHANGE_INTERVAL_MS = 10_000;

  /** Maximum share of the engines that change their role at once. */
  private static final double MAX_CHANGING_SHARE = 0.25;

  private RolePolicies() {}

  /**
   * Creates a policy that changes roles if the forecast benefit sufficiently exceeds the cost for
   * some time. The rate of changes is limited.
   *
   * @return the policy
   */
  public static RolePolicy costAndBenefit() {
    return RolePolicies::decide;
  }

  /**
   * Creates a policy that never changes roles.
   *
   * @return the policy
   */
  public static RolePolicy fixed() {
    return (history, view) -> new RolePolicy.Decision(history, List.of());
  }

  private static RolePolicy.Decision decide(RolePolicy.History history, FleetView view) {
    int prefillChange = bestPrefillChange(view);
    if (prefillChange == 0) {
      return noChange(history, RolePolicy.History.NEVER);
    }
    long nowMs = view.nowMs();
    long sinceMs =
        history.changeNeededSinceMs() == RolePolicy.History.NEVER
            ? nowMs
            : history.changeNeededSinceMs();
    boolean changing =
        view.engines().stream().anyMatch(e -> e.state() == FleetEngine.State.CHANGING);
    boolean tooSoon = nowMs - history.lastChangeMs() < MIN_CHANGE_INTERVAL_MS;
    if (changing || tooSoon || nowMs - sinceMs < CHANGE_DELAY_MS) {
      return noChange(history, sinceMs);
    }
    return new RolePolicy.Decision(
        new RolePolicy.History(nowMs, RolePolicy.History.NEVER), roleChanges(view, prefillChange));
  }

  private static RolePolicy.Decision noChange(RolePolicy.History history, long sinceMs) {
    return new RolePolicy.Decision(
        new RolePolicy.History(history.lastChangeMs(), sinceMs), List.of());
  }

  /**
   * Returns how many mixed engines to change to prefill engines, or, if negative, how many prefill
   * engines to change back.
   */
  private static int bestPrefillChange(FleetView view) {
    List<FleetEngine> engines =
        view.engines().stream()
            .filter(FleetEngine::isRetained)
            .filter(e -> e.state() != FleetEngine.State.STARTING)
            .toList();
    if (engines.size() < 2) {
      return 0;
    }
    FleetCapacity capacity = new FleetCapacity(engines.get(0).profile());
    FleetCapacity.Roles roles = roles(engines);
    double load = capacity.minLoad(view.roleChangeForecast(), roles);
    if (load < MIN_LOAD_FOR_ROLE_CHANGE) {
      return 0;
    }
    int maxChange = Math.max(1, (int) (engines.size() * MAX_CHANGING_SHARE));
    int bestChange = 0;
    double bestGain = 0;
    for (int change = -Math.min(maxChange, roles.prefill()); change <= maxChange; change++) {
      if (roles.mixed() - change < 1) {
        break;
      }
      double benefit =
          (load - capacity.minLoad(view.roleChangeForecast(), roles.withMorePrefill(change)))
              * BENEFIT_DURATION_S;
      double cost = load * CHANGE_DURATION_S * Math.abs(change) / engines.size();
      if (benefit > MIN_BENEFIT_TO_COST * cost && benefit - cost > bestGain) {
        bestGain = benefit - cost;
        bestChange = change;
      }
    }
    return bestChange;
  }

  private static FleetCapacity.Roles roles(List<FleetEngine> engines) {
    return new FleetCapacity.Roles(
        count(engines, EngineRole.MIXED),
        count(engines, EngineRole.PREFILL),
        count(engines, EngineRole.DECODE));
  }

  private static int count(List<FleetEngine> engines, EngineRole role) {
    return (int) engines.stream().filter(e -> e.role() == role).count();
  }

  private static List<RolePolicy.RoleChange> roleChanges(FleetView view, int prefillChange) {
    EngineRole from = prefillChange > 0 ? EngineRole.MIXED : EngineRole.PREFILL;
    EngineRole to = prefillChange > 0 ? EngineRole.PREFILL : EngineRole.MIXED;
    List<FleetEngine> candidates = new ArrayList<>(view.engines());
    candidates.removeIf(e -> e.state() != FleetEngine.State.SERVING || e.role() != from);
    Map<String, Integer> prefillByDomain = countPrefillByDomain(view);
    List<RolePolicy.RoleChange> changes = new ArrayList<>();
    while (changes.size() < Math.abs(prefillChange) && !candidates.isEmpty()) {
      FleetEngine engine = selectEngine(candidates, prefillByDomain, prefillChange > 0);
      candidates.remove(engine);
      prefillByDomain.merge(
          engine.profile().failureDomain(), prefillChange > 0 ? 1 : -1, Integer::sum);
      changes.add(new RolePolicy.RoleChange(engine.name(), to, "forecast_load"));
    }
    return changes;
  }

  /** Selects an engine such that prefill engines stay spread over the failure domains. */
  private static FleetEngine selectEngine(
      List<FleetEngine> candidates, Map<String, Integer> prefillByDomain, boolean fewestFirst) {
    Comparator<FleetEngine> byDomain =
        Comparator.comparingInt(e -> prefillByDomain.getOrDefault(e.profile().failureDomain(), 0));
    Optional<FleetEngine> selected =
        candidates.stream()
            .min((fewestFirst ? byDomain : byDomain.reversed()).thenComparing(FleetEngine::name));
    return selected.orElseThrow();
  }

  private static Map<String, Integer> countPrefillByDomain(FleetView view) {
    Map<String, Integer> counts = new HashMap<>();
    view.engines().stream()
        .filter(e -> e.isRetained() && e.role() == EngineRole.PREFILL)
        .forEach(e -> counts.merge(e.profile().failureDomain(), 1, Integer::sum));
    return counts;
  }
}
