package io.samphiregauge.core.fleet;

import java.util.List;

/** Decides on the number and kind of engines; a pure function of memory and view. */
@FunctionalInterface
public interface FleetPolicyDecision {
  /**
   * What a policy remembers between decisions.
   *
   * @param watchingSinceMs since when the holder has watched the demand
   * @param lowSinceMs since when fewer engines would do, without a break
   */
  record Memory(long watchingSinceMs, long lowSinceMs) {
    /** Returns the memory before the first decision. */
    public static Memory empty() {
      return new Memory(RolePolicy.Memory.NEVER, RolePolicy.Memory.NEVER);
    }
  }

  /**
   * An order for one engine.
   *
   * @param failureDomain failure domain
   * @param reclaimable whether a reclaimable one will do; the orderer asks for one that is not
   *     where none can be had
   * @param reason why
   */
  record Start(String failureDomain, boolean reclaimable, String reason) {}

  /**
   * A decision.
   *
   * @param memory memory for the next decision
   * @param starts engines to order
   * @param drains engines to drain and give back
   */
  record Decision(Memory memory, List<Start> starts, List<String> drains) {}

  /**
   * Decides.
   *
   * @param memory memory of the last decision
   * @param view the fleet
   * @return orders, often none
   */
  Decision decide(Memory memory, FleetView view);
}
