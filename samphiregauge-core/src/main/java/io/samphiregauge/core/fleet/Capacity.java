package io.samphiregauge.core.fleet;

import io.samphiregauge.core.engine.EngineProfile;

/** Load of a fleet: offered work over what engines in given roles can do. */
final class Capacity {
  /**
   * Share of the slots that a loaded engine fills. A full batch gives the most tokens, and steps
   * too slow for deadlines.
   */
  private static final double FILLED_SLOTS = 0.66;

  private static final double MS_PER_S = 1_000;
  private static final double MAX_LOAD = 8;
  private static final int BISECTIONS = 24;

  private final double prefillPerPrefillEngine;
  private final double prefillPerMixedEngine;
  private final double outputPerEngine;

  Capacity(EngineProfile profile) {
    this.prefillPerPrefillEngine = prefillPerSecond(profile, profile.prefillBudgetTokens());
    this.prefillPerMixedEngine = prefillPerSecond(profile, profile.mixedBudgetTokens());
    double batch = Math.max(1, profile.slots() * FILLED_SLOTS);
    this.outputPerEngine =
        batch * MS_PER_S / (profile.stepBaseMs() + profile.stepPerSequenceMs() * batch);
  }

  /**
   * Returns the least load at which the engines carry the demand: mixed engines take what prefill
   * and decode engines at that load leave over. 1 is a fleet that is just full.
   */
  double load(Demand demand, Roles roles) {
    double low = 0;
    double high = MAX_LOAD;
    for (int i = 0; i < BISECTIONS; i++) {
      double middle = (low + high) / 2;
      if (fits(demand, roles, middle)) {
        high = middle;
      } else {
        low = middle;
      }
    }
    return high;
  }

  /** Returns the least load over all numbers of prefill engines, with the others mixed. */
  double bestLoad(Demand demand, int engines) {
    double best = MAX_LOAD;
    for (int prefill = 0; prefill < engines; prefill++) {
      best = Math.min(best, load(demand, new Roles(engines - prefill, prefill, 0)));
    }
    return best;
  }

  private boolean fits(Demand demand, Roles roles, double load) {
    double prefill =
        demand.prefillTokensPerSecond() - load * roles.prefill() * prefillPerPrefillEngine;
    double output = demand.outputTokensPerSecond() - load * roles.decode() * outputPerEngine;
    double mixedNeeded =
        Math.max(0, prefill) / prefillPerMixedEngine + Math.max(0, output) / outputPerEngine;
    return mixedNeeded <= load * roles.mixed() + 1e-9;
  }

  private static double prefillPerSecond(EngineProfile profile, int budget) {
    return budget * MS_PER_S / (profile.stepBaseMs() + budget * profile.prefillMsPerToken());
  }

  /** Number of engines by role. */
  record Roles(int mixed, int prefill, int decode) {
    Roles withPrefill(int more) {
      return new Roles(mixed - more, prefill + more, decode);
    }
  }
}
