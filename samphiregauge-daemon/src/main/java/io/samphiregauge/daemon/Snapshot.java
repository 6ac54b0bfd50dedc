package io.samphiregauge.daemon;

import io.samphiregauge.core.log.FoldedState;

/**
 * What traffic threads see of the control state; immutable.
 *
 * @param state folded log state
 * @param logContactMs time of the last answer of the log, on the clock of the process
 * @param ready whether the state has been read up to the end of the log once
 */
record Snapshot(FoldedState state, long logContactMs, boolean ready) {
  static Snapshot initial() {
    return new Snapshot(FoldedState.empty(), Long.MIN_VALUE, false);
  }
}
