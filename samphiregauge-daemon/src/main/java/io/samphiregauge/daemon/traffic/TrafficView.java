package io.samphiregauge.daemon.traffic;

import io.samphiregauge.core.config.ConfigView;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.suspect.SuspicionView;
import java.util.Optional;
import java.util.Set;

/**
 * Immutable view of the control state for the traffic threads.
 *
 * @param state state folded from the log
 * @param fresh whether the configuration is known to be current
 * @param ready whether the log has been read to its end at least once
 * @param leavingBackends backend servers that receive no new calls
 * @param leavingVms VMs that the directory no longer lists
 * @param suspicions requests suspected of crashing engines, or empty if there are none
 */
public record TrafficView(
    FoldedState state,
    boolean fresh,
    boolean ready,
    Set<String> leavingBackends,
    Set<String> leavingVms,
    Optional<SuspicionView> suspicions) {

  /** Creates a view in which no request is suspected. */
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
