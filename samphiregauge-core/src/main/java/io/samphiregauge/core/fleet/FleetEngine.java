package io.samphiregauge.core.fleet;

import io.samphiregauge.core.engine.EngineProfile;
import io.samphiregauge.schema.order.EngineRole;

/**
 * Profile, role and lifecycle state of one engine, as input to decisions about the fleet.
 *
 * @param profile performance profile, failure domain and kind of the engine
 * @param role current role, or the new role during a role change
 * @param state lifecycle state
 */
public record FleetEngine(EngineProfile profile, EngineRole role, State state) {
  /** Lifecycle state of an engine. */
  public enum State {
    /** Ordered but not serving yet. */
    STARTING,
    /** Accepts work. */
    SERVING,
    /** Drains or changes its role, and serves again afterwards. */
    CHANGING,
    /** Drains for removal or was reclaimed; does not serve again. */
    LEAVING
  }

  /** Returns the name of the engine. */
  public String name() {
    return profile.name();
  }

  /** Returns whether the engine serves or will serve, that is, it is not leaving. */
  public boolean isRetained() {
    return state != State.LEAVING;
  }
}
