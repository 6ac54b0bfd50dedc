package io.samphiregauge.core.control;

import io.samphiregauge.core.DualTimestamp;
import java.util.OptionalLong;

/** Computes when a coordinator next needs a tick. */
final class Deadlines {
  private Deadlines() {}

  static long nextTickMs(ControlState controlState, DualTimestamp now) {
    long deadlineMs = controlState.membership().deadlineMs();
    deadlineMs = min(deadlineMs, controlState.logWriter().deadlineMs());
    deadlineMs = min(deadlineMs, controlState.fleetLease().deadlineMs());
    deadlineMs = min(deadlineMs, controlState.usageLease().deadlineMs());
    deadlineMs = min(deadlineMs, controlState.orderer().deadlineMs());
    deadlineMs =
        min(
            deadlineMs,
            controlState
                .usageReporter()
                .deadlineMs(controlState.logReader().state(), now.monotonicMs(), now.wallMs()));
    deadlineMs = Math.min(deadlineMs, controlState.taskState().nextUsageCopyMs());
    deadlineMs = Math.min(deadlineMs, controlState.taskState().nextPieceCheckMs());
    return Math.min(deadlineMs, logOutageDeadlineMs(controlState));
  }

  /** Returns when records or outage reports are next requested from peers. */
  private static long logOutageDeadlineMs(ControlState controlState) {
    OptionalLong contactMs = controlState.freshness().ownContactMs();
    long earliestRequestMs =
        contactMs.isPresent() ? contactMs.getAsLong() + RecordRelay.REQUEST_AFTER_MS : 0;
    long requestMs = Math.max(earliestRequestMs, controlState.recordRelay().nextRequestMs());
    return Math.min(
        requestMs,
        controlState
            .outageReports()
            .deadlineMs(
                PeerExchange.outageView(
                    controlState.logReader().state(), controlState.freshness())));
  }

  private static long min(long time, OptionalLong other) {
    return other.isPresent() ? Math.min(time, other.getAsLong()) : time;
  }
}
