package io.samphiregauge.replay;

import io.samphiregauge.core.fleet.FleetEngine;
import io.samphiregauge.core.fleet.FleetSizePolicies;
import io.samphiregauge.core.fleet.FleetView;
import io.samphiregauge.core.fleet.RolePolicies;
import io.samphiregauge.core.fleet.RolePolicy;
import io.samphiregauge.core.route.PlacementPolicies;
import io.samphiregauge.core.route.PlacementPolicy;
import io.samphiregauge.schema.order.EngineRole;
import io.samphiregauge.schema.replay.ReplaySettings;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;

/** Registry of the policy sets that a replay can run: the product's and the baselines. */
final class PolicySets {
  static final String PRODUCT = "product";
  static final String STATIC = "static";
  static final String TWO_CHOICES = "two_choices";
  static final String REACTIVE = "reactive";

  private static final Map<String, PolicySet> BY_NAME = new TreeMap<>();

  static {
    register(
        new PolicySet(
            PRODUCT,
            PolicySets::allMixed,
            placementPolicy(PlacementPolicies.PREDICTED),
            true,
            true,
            RolePolicies.costAndBenefit(),
            FleetSizePolicies.forecast()));
    register(
        new PolicySet(
            STATIC,
            PolicySets::interleavedRoles,
            placementPolicy("least_load"),
            true,
            false,
            RolePolicies.fixed(),
            FleetSizePolicies.fixed()));
    register(
        new PolicySet(
            TWO_CHOICES,
            PolicySets::allMixed,
            placementPolicy("two_choices"),
            true,
            false,
            RolePolicies.fixed(),
            FleetSizePolicies.fixed()));
    register(
        new PolicySet(
            REACTIVE,
            PolicySets::interleavedRoles,
            placementPolicy("least_load"),
            true,
            false,
            PolicySets::reactToCurrentDemand,
            FleetSizePolicies.fixed()));
  }

  private PolicySets() {}

  /** Returns the policy set of this name, or empty if there is none. */
  static Optional<PolicySet> named(String name) {
    return Optional.ofNullable(BY_NAME.get(name));
  }

  /** Returns the names of the policy sets in alphabetical order. */
  static List<String> names() {
    return List.copyOf(BY_NAME.keySet());
  }

  private static void register(PolicySet policySet) {
    BY_NAME.put(policySet.name(), policySet);
  }

  private static PlacementPolicy placementPolicy(String name) {
    return PlacementPolicies.named(name).orElseThrow();
  }

  private static List<EngineRole> allMixed(ReplaySettings settings) {
    return Collections.nCopies(settings.getEngines(), EngineRole.MIXED);
  }

  /** Interleaves prefill and decode engines, so that both roles are in all failure domains. */
  private static List<EngineRole> interleavedRoles(ReplaySettings settings) {
    int engines = settings.getEngines();
    int prefill = settings.getStaticPrefillEngines();
    return IntStream.range(0, engines)
        .mapToObj(
            i ->
                i * prefill / engines != (i + 1) * prefill / engines
                    ? EngineRole.PREFILL
                    : EngineRole.DECODE)
        .toList();
  }

  /**
   * Changes one engine towards the roles that the current demand needs, without forecast or
   * hysteresis.
   */
  private static RolePolicy.Decision reactToCurrentDemand(
      RolePolicy.History history, FleetView view) {
    List<FleetEngine> serving =
        view.engines().stream().filter(e -> e.state() == FleetEngine.State.SERVING).toList();
    if (serving.size() < 2) {
      return new RolePolicy.Decision(history, List.of());
    }
    var profile = serving.get(0).profile();
    double prefillWork = profile.workMs(view.currentDemand().prefillTokensPerSecond(), 0);
    double decodeWork = profile.workMs(0, view.currentDemand().outputTokensPerSecond());
    long retainedEngines = view.engines().stream().filter(FleetEngine::isRetained).count();
    long targetPrefillEngines =
        Math.round(retainedEngines * prefillWork / Math.max(1e-9, prefillWork + decodeWork));
    targetPrefillEngines = Math.max(1, Math.min(retainedEngines - 1, targetPrefillEngines));
    long prefillEngines =
        view.engines().stream()
            .filter(FleetEngine::isRetained)
            .filter(e -> e.role() == EngineRole.PREFILL)
            .count();
    if (targetPrefillEngines == prefillEngines) {
      return new RolePolicy.Decision(history, List.of());
    }
    EngineRole fromRole =
        targetPrefillEngines > prefillEngines ? EngineRole.DECODE : EngineRole.PREFILL;
    EngineRole toRole =
        targetPrefillEngines > prefillEngines ? EngineRole.PREFILL : EngineRole.DECODE;
    boolean lastOfRole = serving.stream().filter(e -> e.role() == fromRole).count() < 2;
    List<RolePolicy.RoleChange> changes =
        serving.stream()
            .filter(e -> e.role() == fromRole && !lastOfRole)
            .limit(1)
            .map(e -> new RolePolicy.RoleChange(e.name(), toRole, "present_demand"))
            .toList();
    return new RolePolicy.Decision(history, changes);
  }
}
