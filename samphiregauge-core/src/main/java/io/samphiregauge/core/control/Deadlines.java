package io.samphiregauge.core.control;

import java.util.OptionalLong;

/** Finds when a coordinator next has something to do. */
final class Deadlines {
  private Deadlines() {}

  static long nextTickMs(ControlState controlState, ClockReading now) {
    long deadlineMs = controlState.membership().deadlineMs();
    deadlineMs = earlier(deadlineMs, controlState.logWriter().deadlineMs());
    deadlineMs = earlier(deadlineMs, controlState.fleetLease().deadlineMs());
    deadlineMs = earlier(deadlineMs, controlState.usageLease().deadlineMs());
    deadlineMs = earlier(deadlineMs, controlState.orderer().deadlineMs());
    deadlineMs =
        earlier(
            deadlineMs,
            controlState
                .usageReporter()
                .deadlineMs(controlState.logReader().state(), now.monotonicMs(), now.wallMs()));
    deadlineMs = Math.min(deadlineMs, controlState.progress().nextUsageCopyMs());
    deadlineMs = Math.min(deadlineMs, controlState.progress().nextPieceCheckMs());
    return Math.min(deadlineMs, logOutageDeadlineMs(controlState));
  }

  /** Without log contact, peers are asked for records and for reports. */
  private static long logOutageDeadlineMs(ControlState controlState) {
    OptionalLong contactMs = controlState.freshness().ownContactMs();
    long outageStartMs =
        contactMs.isPresent() ? contactMs.getAsLong() + RecordRelay.REQUEST_AFTER_MS : 0;
    long requestMs = Math.max(outageStartMs, controlState.recordRelay().nextRequestMs());
    return Math.min(
        requestMs,
        controlState
            .outageReports()
            .deadlineMs(
                PeerExchange.outageView(
                    controlState.logReader().state(), controlState.freshness())));
  }

  private static long earlier(long time, OptionalLong other) {
    return other.isPresent() ? Math.min(time, other.getAsLong()) : time;
  }
}
