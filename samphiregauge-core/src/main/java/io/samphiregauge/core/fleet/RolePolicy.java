package io.samphiregauge.core.fleet;

import io.samphiregauge.schema.order.EngineRole;
import java.util.List;

/** Decides on role changes; a pure function from memory and view to memory and changes. */
@FunctionalInterface
public interface RolePolicy {
  /**
   * What a policy remembers between decisions.
   *
   * @param lastChangeMs time of the last change that it decided
   * @param changeNeededSinceMs since when it has wanted a change without a break
   */
  record History(long lastChangeMs, long changeNeededSinceMs) {
    /** Value of a time that has not come. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    /** Returns the memory before the first decision. */
    public static History empty() {
      return new History(NEVER, NEVER);
    }
  }

  /**
   * A change of one engine.
   *
   * @param engine name of the engine
   * @param role its new role
   * @param reason why
   */
  record RoleChange(String engine, EngineRole role, String reason) {}

  /**
   * A decision.
   *
   * @param history memory for the next decision
   * @param changes changes to order now
   */
  record Decision(History history, List<RoleChange> changes) {}

  /**
   * Decides.
   *
   * @param history memory of the last decision
   * @param view the fleet
   * @return changes, often none
   */
  Decision decide(History history, FleetView view);
}
