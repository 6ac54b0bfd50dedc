package io.samphiregauge.core.fleet;

import io.samphiregauge.core.engine.EngineProfile;
import io.samphiregauge.schema.order.EngineRole;

/**
 * An engine as decisions about the fleet see it.
 *
 * @param profile what is known of it, with its failure domain and kind
 * @param role its role, or the role that it is changing to
 * @param state what it does
 */
public record FleetEngine(EngineProfile profile, EngineRole role, State state) {
  /** What an engine does. */
  public enum State {
    /** Ordered, and not serving yet. */
    STARTING,
    /** Takes work. */
    SERVING,
    /** Drains or changes its role, and will serve again. */
    CHANGING,
    /** Drains or was reclaimed, and will not serve again. */
    LEAVING
  }

  /** Returns the name of the engine. */
  public String name() {
    return profile.name();
  }

  /** Tells whether the engine serves or will serve. */
  public boolean isRetained() {
    return state != State.LEAVING;
  }
}
