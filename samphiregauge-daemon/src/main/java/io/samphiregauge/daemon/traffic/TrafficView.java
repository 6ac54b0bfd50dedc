package io.samphiregauge.daemon.traffic;

import io.samphiregauge.core.config.ConfigView;
import io.samphiregauge.core.log.FoldedState;
import java.util.Set;

/**
 * What traffic threads see of the control state; immutable.
 *
 * @param state folded log state
 * @param fresh whether the configuration is known to be the one in force
 * @param ready whether the state has been read up to the end of the log once
 * @param leavingBackends backend servers that get no new work
 * @param leavingVms VMs that the directory names no more
 */
public record TrafficView(
    FoldedState state,
    boolean fresh,
    boolean ready,
    Set<String> leavingBackends,
    Set<String> leavingVms) {
  ConfigView config() {
    return state.config();
  }
}
