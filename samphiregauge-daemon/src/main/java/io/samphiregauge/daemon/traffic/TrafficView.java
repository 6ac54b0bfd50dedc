package io.samphiregauge.daemon.traffic;

import io.samphiregauge.core.config.ConfigView;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.suspect.SuspicionView;
import java.util.Optional;
import java.util.Set;

/**
 * What traffic threads see of the control state; immutable.
 *
 * @param state folded log state
 * @param fresh whether the configuration is known to be the one in force
 * @param ready whether the state has been read up to the end of the log once
 * @param leavingBackends backend servers that get no new work
 * @param leavingVms VMs that the directory names no more
 * @param suspicions requests that are suspected of crashing engines; empty where there are none
 */
public record TrafficView(
    FoldedState state,
    boolean fresh,
    boolean ready,
    Set<String> leavingBackends,
    Set<String> leavingVms,
    Optional<SuspicionView> suspicions) {

  /** Makes a view in which no request is a suspect. */
  public TrafficView(
      FoldedState state,
      boolean fresh,
      boolean ready,
      Set<String> leavingBackends,
      Set<String> leavingVms) {
    this(state, fresh, ready, leavingBackends, leavingVms, Optional.empty());
  }

  ConfigView config() {
    return state.config();
  }
}
