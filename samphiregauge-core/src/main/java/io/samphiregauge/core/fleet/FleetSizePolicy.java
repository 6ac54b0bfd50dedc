package io.samphiregauge.core.fleet;

import java.util.List;

/** Decides on the number and kind of engines; a pure function of history and view. */
@FunctionalInterface
public interface FleetSizePolicy {
  /**
   * State that a policy keeps between decisions. A time that has not come is {@link
   * RolePolicy.History#NEVER}.
   *
   * @param observingSinceMs time since which the lease holder has observed the demand
   * @param oversizedSinceMs time since which fewer engines would have sufficed without interruption
   */
  record History(long observingSinceMs, long oversizedSinceMs) {
    /** Returns the history before the first decision. */
    public static History empty() {
      return new History(RolePolicy.History.NEVER, RolePolicy.History.NEVER);
    }
  }

  /**
   * Order for one new engine.
   *
   * @param failureDomain failure domain
   * @param reclaimable whether a reclaimable engine is preferred; the orderer requests an on-demand
   *     one where none is available
   * @param reason reason for the decision log
   */
  record Start(String failureDomain, boolean reclaimable, String reason) {}

  /**
   * Result of a decision.
   *
   * @param history history for the next decision
   * @param starts engines to order
   * @param drains names of the engines to drain and remove
   */
  record Decision(History history, List<Start> starts, List<String> drains) {}

  /**
   * Decides which engines to start and which to remove.
   *
   * @param history history from the last decision
   * @param view current state of the fleet
   * @return the decision, often without orders
   */
  Decision decide(History history, FleetView view);
}
