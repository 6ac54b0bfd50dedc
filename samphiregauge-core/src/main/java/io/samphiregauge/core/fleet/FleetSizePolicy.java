package io.samphiregauge.core.fleet;

import java.util.List;

/** Decides on the number and kind of engines; a pure function of memory and view. */
@FunctionalInterface
public interface FleetSizePolicy {
  /**
   * What a policy remembers between decisions.
   *
   * @param observingSinceMs since when the holder has watched the demand
   * @param oversizedSinceMs since when fewer engines would do, without a break
   */
  record History(long observingSinceMs, long oversizedSinceMs) {
    /** Returns the memory before the first decision. */
    public static History empty() {
      return new History(RolePolicy.History.NEVER, RolePolicy.History.NEVER);
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
   * @param history memory for the next decision
   * @param starts engines to order
   * @param drains engines to drain and give back
   */
  record Decision(History history, List<Start> starts, List<String> drains) {}

  /**
   * Decides.
   *
   * @param history memory of the last decision
   * @param view the fleet
   * @return orders, often none
   */
  Decision decide(History history, FleetView view);
}
