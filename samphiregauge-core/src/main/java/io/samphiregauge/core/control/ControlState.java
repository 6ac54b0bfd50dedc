package io.samphiregauge.core.control;

import io.samphiregauge.core.lease.LeaseAgent;
import io.samphiregauge.core.log.CheckpointSchedule;
import io.samphiregauge.core.log.Freshness;
import io.samphiregauge.core.log.LogReader;
import io.samphiregauge.core.log.LogWriter;
import io.samphiregauge.core.member.EndedProcessDetector;
import io.samphiregauge.core.member.Membership;
import io.samphiregauge.core.member.OutageReports;
import io.samphiregauge.core.order.Orderer;
import io.samphiregauge.core.usage.UsageReporter;
import io.samphiregauge.core.usage.UsageStore;

/** State of all components of a {@link Coordinator}; immutable. */
record ControlState(
    LogReader logReader,
    LogWriter logWriter,
    Freshness freshness,
    LeaseAgent fleetLease,
    LeaseAgent usageLease,
    Membership membership,
    OutageReports outageReports,
    EndedProcessDetector endedProcessDetector,
    Orderer orderer,
    UsageStore usageStore,
    UsageReporter usageReporter,
    CheckpointSchedule checkpointSchedule,
    RecordRelay recordRelay,
    TaskState taskState) {

  /**
   * Shutdown flags, pending piece records, and due times of the periodic tasks.
   *
   * @param shuttingDown whether the process is shutting down
   * @param endSubmitted whether the process submitted its {@code Ended} record to the log writer
   * @param endRead whether the end of this incarnation was read from the log
   * @param releasePending whether a piece release of this process has not been read back yet
   * @param tablePending whether a piece table of this process has not been read back yet
   * @param nextUsageCopyMs monotonic time of the next usage copy
   * @param nextPieceCheckMs monotonic time of the next check of the piece table
   */
  record TaskState(
      boolean shuttingDown,
      boolean endSubmitted,
      boolean endRead,
      boolean releasePending,
      boolean tablePending,
      long nextUsageCopyMs,
      long nextPieceCheckMs) {}
}
