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
  private static final double LOAD_THAT_NEEDS_ROLES = 0.7;

  /** Time that a new role is expected to be of use; a swing lasts minutes. */
  private static final double BENEFIT_S = 60;

  /** Time that an engine drains and changes; it does part of its work meanwhile. */
  private static final double CHANGE_S = 12;

  /** A change has to gain so many times its cost. */
  private static final double GAIN_OVER_COST = 1.5;

  /** A wish has to last so long; a burst of long prompts is shorter. */
  private static final long WANTED_FOR_MS = 3_000;

  /** Time for the last change to take effect before the next one. */
  private static final long BETWEEN_CHANGES_MS = 10_000;

  /** At most this share of the engines changes at once. */
  private static final double SHARE_AT_ONCE = 0.25;

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

  private static RolePolicy.Decision decide(RolePolicy.Memory memory, FleetView view) {
    int wanted = wantedChange(view);
    if (wanted == 0) {
      return waiting(memory, RolePolicy.Memory.NEVER);
    }
    long now = view.nowMs();
    long since = memory.wantedSinceMs() == RolePolicy.Memory.NEVER ? now : memory.wantedSinceMs();
    boolean changing =
        view.engines().stream().anyMatch(e -> e.state() == FleetEngine.State.CHANGING);
    boolean tooSoon = now - memory.lastChangeMs() < BETWEEN_CHANGES_MS;
    if (changing || tooSoon || now - since < WANTED_FOR_MS) {
      return waiting(memory, since);
    }
    return new RolePolicy.Decision(
        new RolePolicy.Memory(now, RolePolicy.Memory.NEVER), changes(view, wanted));
  }

  private static RolePolicy.Decision waiting(RolePolicy.Memory memory, long since) {
    return new RolePolicy.Decision(new RolePolicy.Memory(memory.lastChangeMs(), since), List.of());
  }

  /** Returns how many engines should become prefill engines; negative to make them mixed again. */
  private static int wantedChange(FleetView view) {
    List<FleetEngine> engines =
        view.engines().stream()
            .filter(FleetEngine::counts)
            .filter(e -> e.state() != FleetEngine.State.STARTING)
            .toList();
    if (engines.size() < 2) {
      return 0;
    }
    Capacity capacity = new Capacity(engines.get(0).profile());
    Capacity.Roles roles = roles(engines);
    double load = capacity.load(view.soon(), roles);
    if (load < LOAD_THAT_NEEDS_ROLES) {
      return 0;
    }
    int most = Math.max(1, (int) (engines.size() * SHARE_AT_ONCE));
    int best = 0;
    double bestGain = 0;
    for (int more = -Math.min(most, roles.prefill()); more <= most; more++) {
      if (roles.mixed() - more < 1) {
        break;
      }
      double benefit = (load - capacity.load(view.soon(), roles.withPrefill(more))) * BENEFIT_S;
      double cost = load * CHANGE_S * Math.abs(more) / engines.size();
      if (benefit > GAIN_OVER_COST * cost && benefit - cost > bestGain) {
        bestGain = benefit - cost;
        best = more;
      }
    }
    return best;
  }

  private static Capacity.Roles roles(List<FleetEngine> engines) {
    return new Capacity.Roles(
        count(engines, EngineRole.MIXED),
        count(engines, EngineRole.PREFILL),
        count(engines, EngineRole.DECODE));
  }

  private static int count(List<FleetEngine> engines, EngineRole role) {
    return (int) engines.stream().filter(e -> e.role() == role).count();
  }

  private static List<RolePolicy.RoleChange> changes(FleetView view, int wanted) {
    EngineRole from = wanted > 0 ? EngineRole.MIXED : EngineRole.PREFILL;
    EngineRole to = wanted > 0 ? EngineRole.PREFILL : EngineRole.MIXED;
    List<FleetEngine> left = new ArrayList<>(view.engines());
    left.removeIf(e -> e.state() != FleetEngine.State.SERVING || e.role() != from);
    Map<String, Integer> withPrefill = prefillByDomain(view);
    List<RolePolicy.RoleChange> changes = new ArrayList<>();
    while (changes.size() < Math.abs(wanted) && !left.isEmpty()) {
      FleetEngine next = pick(left, withPrefill, wanted > 0);
      left.remove(next);
      withPrefill.merge(next.profile().failureDomain(), wanted > 0 ? 1 : -1, Integer::sum);
      changes.add(new RolePolicy.RoleChange(next.name(), to, "forecast_load"));
    }
    return changes;
  }

  /** Keeps the prefill engines spread over the failure domains. */
  private static FleetEngine pick(
      List<FleetEngine> engines, Map<String, Integer> withPrefill, boolean fewestFirst) {
    Comparator<FleetEngine> byDomain =
        Comparator.comparingInt(e -> withPrefill.getOrDefault(e.profile().failureDomain(), 0));
    Optional<FleetEngine> chosen =
        engines.stream()
            .min((fewestFirst ? byDomain : byDomain.reversed()).thenComparing(FleetEngine::name));
    return chosen.orElseThrow();
  }

  private static Map<String, Integer> prefillByDomain(FleetView view) {
    Map<String, Integer> counts = new HashMap<>();
    view.engines().stream()
        .filter(e -> e.counts() && e.role() == EngineRole.PREFILL)
        .forEach(e -> counts.merge(e.profile().failureDomain(), 1, Integer::sum));
    return counts;
  }
}
