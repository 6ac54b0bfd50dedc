package io.samphiregauge.core.fleet;

import io.samphiregauge.schema.order.EngineRole;
import java.util.List;

/** Decides on role changes of engines; a pure function of history and view. */
@FunctionalInterface
public interface RolePolicy {
  /**
   * State that a policy keeps between decisions.
   *
   * @param lastChangeMs time of the last decision to change roles
   * @param changeNeededSinceMs time since which a change has been needed without interruption
   */
  record History(long lastChangeMs, long changeNeededSinceMs) {
    /** Time of an event that has not occurred; halved so that differences do not overflow. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    /** Returns the history before the first decision. */
    public static History empty() {
      return new History(NEVER, NEVER);
    }
  }

  /**
   * Role change of one engine.
   *
   * @param engine name of the engine
   * @param role new role of the engine
   * @param reason reason for the decision log
   */
  record RoleChange(String engine, EngineRole role, String reason) {}

  /**
   * Result of a decision.
   *
   * @param history history for the next decision
   * @param changes role changes to order now
   */
  record Decision(History history, List<RoleChange> changes) {}

  /**
   * Decides which engines change their roles.
   *
   * @param history history from the last decision
   * @param view current state of the fleet
   * @return the decision, often without changes
   */
  Decision decide(History history, FleetView view);
}
