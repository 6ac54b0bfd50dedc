package io.samphiregauge.core.fleet;

import io.samphiregauge.schema.order.EngineRole;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Role policies by name. */
public final class RolePolicies {
  /** Below this load mixed engines carry any ratio of prompt to output by routing alone. */
  private static final double MIN_LOAD_FOR_ROLE_CHANGE = 0.7;

  /** Time that a new role is expected to be of use; a swing lasts minutes. */
  private static final double BENEFIT_DURATION_S = 60;

  /** Time that an engine drains and changes; it does part of its work meanwhile. */
  private static final double CHANGE_DURATION_S = 12;

  /** A change has to gain so many times its cost. */
  private static final double MIN_BENEFIT_TO_COST = 1.5;

  /** A wish has to last so long; a burst of long prompts is shorter. */
  private static final long CHANGE_DELAY_MS = 3_000;

  /** Time for the last change to take effect before the next one. */
  private static final long MIN_CHANGE_INTERVAL_MS = 10_000;

  /** At most this share of the engines changes at once. */
  private static final double MAX_CHANGING_SHARE = 0.25;

  private RolePolicies() {}

  /**
   * Changes roles where the forecast benefit exceeds the cost, for a while, and not too often.
   *
   * @return the policy
   */
  public static RolePolicy costAndBenefit() {
    return RolePolicies::decide;
  }

  /**
   * Leaves all roles as they are.
   *
   * @return the policy
   */
  public static RolePolicy fixed() {
    return (memory, view) -> new RolePolicy.Decision(memory, List.of());
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

  /** Returns how many engines should become prefill engines; negative to make them mixed again. */
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

  /** Keeps the prefill engines spread over the failure domains. */
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
