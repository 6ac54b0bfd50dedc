package io.samphiregauge.core.control;

import io.samphiregauge.core.lease.LeaseAgent;
import io.samphiregauge.core.log.Checkpoints;
import io.samphiregauge.core.log.Freshness;
import io.samphiregauge.core.log.LogReader;
import io.samphiregauge.core.log.LogWriter;
import io.samphiregauge.core.member.EndedWatch;
import io.samphiregauge.core.member.Membership;
import io.samphiregauge.core.member.OutageReports;
import io.samphiregauge.core.order.Orderer;
import io.samphiregauge.core.usage.UsageLedger;
import io.samphiregauge.core.usage.UsageReporter;

/** States of all parts of a coordinator; immutable. */
record ControlState(
    LogReader logReader,
    LogWriter logWriter,
    Freshness freshness,
    LeaseAgent fleetLease,
    LeaseAgent usageLease,
    Membership membership,
    OutageReports outageReports,
    EndedWatch endedProcessDetector,
    Orderer orderer,
    UsageLedger usageStore,
    UsageReporter usageReporter,
    Checkpoints checkpointSchedule,
    RecordRelay recordRelay,
    Progress progress) {

  /**
   * How far the process is in its life.
   *
   * @param leaving whether it is about to end
   * @param endWritten whether its own end was handed to the log writer
   * @param endRead whether its end was read in the log
   * @param releasePending whether a release of pieces is on its way
   * @param tablePending whether a piece table is on its way
   * @param nextUsageCopyMs time of the next usage copy
   * @param nextPieceCheckMs time of the next look at the pieces
   */
  record Progress(
      boolean leaving,
      boolean endWritten,
      boolean endRead,
      boolean releasePending,
      boolean tablePending,
      long nextUsageCopyMs,
      long nextPieceCheckMs) {}
}
