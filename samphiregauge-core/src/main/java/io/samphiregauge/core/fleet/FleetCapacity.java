package io.samphiregauge.core.fleet;

import io.samphiregauge.core.engine.EngineProfile;

/** Computes the load of a fleet: the demand relative to the capacity of engines in given roles. */
final class FleetCapacity {
  /**
   * Share of its slots that an engine uses at a load of 1. A full batch yields the most tokens, but
   * its steps are too slow for the deadlines.
   */
  private static final double SLOT_UTILIZATION = 0.66;

  private static final double MS_PER_S = 1_000;
  private static final double MAX_LOAD = 8;
  private static final int BISECTIONS = 24;

  private final double prefillTokensPerPrefillEngine;
  private final double prefillTokensPerMixedEngine;
  private final double outputTokensPerEngine;

  FleetCapacity(EngineProfile profile) {
    this.prefillTokensPerPrefillEngine =
        prefillTokensPerSecond(profile, profile.prefillBudgetTokens());
    this.prefillTokensPerMixedEngine = prefillTokensPerSecond(profile, profile.mixedBudgetTokens());
    double batchSize = Math.max(1, profile.slots() * SLOT_UTILIZATION);
    this.outputTokensPerEngine =
        batchSize * MS_PER_S / (profile.stepBaseMs() + profile.stepPerSequenceMs() * batchSize);
  }

  /**
   * Returns the lowest load at which the capacity of the engines, multiplied by the load, covers
   * the demand; {@link #MAX_LOAD} if the demand exceeds even that capacity. Mixed engines process
   * what exceeds the capacity of the prefill and decode engines at that load. At a load of 1 the
   * demand equals the capacity of the fleet.
   */
  double minLoad(Demand demand, Roles roles) {
    double low = 0;
    double high = MAX_LOAD;
    for (int i = 0; i < BISECTIONS; i++) {
      double candidate = (low + high) / 2;
      if (fits(demand, roles, candidate)) {
        high = candidate;
      } else {
        low = candidate;
      }
    }
    return high;
  }

  /**
   * Returns the lowest load over all numbers of prefill engines that leave at least one engine
   * mixed; the other engines are mixed.
   */
  double minLoadWithBestRoles(Demand demand, int engines) {
    double best = MAX_LOAD;
    for (int prefill = 0; prefill < engines; prefill++) {
      best = Math.min(best, minLoad(demand, new Roles(engines - prefill, prefill, 0)));
    }
    return best;
  }

  private boolean fits(Demand demand, Roles roles, double load) {
    double remainingPrefill =
        demand.prefillTokensPerSecond() - load * roles.prefill() * prefillTokensPerPrefillEngine;
    double remainingOutput =
        demand.outputTokensPerSecond() - load * roles.decode() * outputTokensPerEngine;
    double mixedEnginesNeeded =
        Math.max(0, remainingPrefill) / prefillTokensPerMixedEngine
            + Math.max(0, remainingOutput) / outputTokensPerEngine;
    return mixedEnginesNeeded <= load * roles.mixed() + 1e-9;
  }

  private static double prefillTokensPerSecond(EngineProfile profile, int budgetTokens) {
    return budgetTokens
        * MS_PER_S
        / (profile.stepBaseMs() + budgetTokens * profile.prefillMsPerToken());
  }

  /** Numbers of engines in each role. */
  record Roles(int mixed, int prefill, int decode) {
    Roles withMorePrefill(int count) {
      return new Roles(mixed - count, prefill + count, decode);
    }
  }
}
