package io.samphiregauge.core.control;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.Step;
import io.samphiregauge.core.lease.LeaseEvent;
import io.samphiregauge.core.log.CheckpointSchedule;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.log.LogReader;
import io.samphiregauge.core.log.LogWriter;
import io.samphiregauge.core.member.MemberEvent;
import io.samphiregauge.core.order.OrderEvent;
import io.samphiregauge.core.order.Orderer;
import io.samphiregauge.core.usage.UsageEvent;
import io.samphiregauge.core.usage.UsageReporter;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.peer.RecordsReply;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.record.Checkpoint;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.OrderIntent;
import io.samphiregauge.schema.record.PieceRelease;
import io.samphiregauge.schema.record.PieceTable;
import io.samphiregauge.schema.record.ProcessState;
import io.samphiregauge.schema.record.UsageSealed;
import java.util.List;
import java.util.Optional;

/** Passes records from the log or from a peer to all components. */
final class LogReadHandler {
  private LogReadHandler() {}

  static void handlePage(StepContext context, RecordsPage page, DualTimestamp requestSentAt) {
    applyReads(context, context.logReader.read(page));
    if (context.logReader.isCaughtUp(page)) {
      context.freshness = context.freshness.withOwnContact(requestSentAt);
    }
    if (!page.getRecords().isEmpty()) {
      PeerExchange.addMemberHints(context, List.of(), List.of());
    }
    publishProgress(context);
  }

  /**
   * Applies the records or the checkpoint relayed by a peer. Ignores replies without a pending
   * request. The time of the peer's log contact is computed from the time the request was sent.
   */
  static void handleReply(StepContext context, RecordsReply reply) {
    Optional<DualTimestamp> sentAt = context.recordRelay.sentAt(reply.getNumber().orElse(0L));
    if (sentAt.isEmpty()) {
      return;
    }
    context.recordRelay = context.recordRelay.withoutRequest(reply.getNumber().orElseThrow());
    reply
        .getSnapshot()
        .flatMap(checkpoint -> context.logReader.restore(checkpoint).value())
        .ifPresent(step -> applyReads(context, step));
    applyReads(context, context.logReader.readRelayed(reply.getAfterOffset(), reply.getRecords()));
    boolean upToDate =
        reply.getSnapshot().isPresent() || context.state().upToOffset() >= reply.getAfterOffset();
    if (upToDate && reply.getLogContactAgeMs() >= 0) {
      context.freshness =
          context.freshness.withPeerContact(sentAt.get(), reply.getLogContactAgeMs());
    }
    publishProgress(context);
  }

  private static void publishProgress(StepContext context) {
    context.updateMembership(
        new MemberEvent.Progress(context.state().upToOffset(), context.freshness.ownContactMs()));
  }

  private static void applyReads(StepContext context, Step<LogReader, LogReader.ReadOutcome> step) {
    context.logReader = step.state();
    for (LogReader.ReadOutcome read : step.actions()) {
      if (read instanceof LogReader.ReadOutcome.Folded folded) {
        handleFolded(context, folded);
      }
      if (read instanceof LogReader.ReadOutcome.Restored restored) {
        handleRestored(context, restored.state());
      }
    }
  }

  private static void handleFolded(StepContext context, LogReader.ReadOutcome.Folded folded) {
    LogRecord logRecord = folded.recordAt().getRecord();
    long offset = folded.recordAt().getOffset();
    boolean own = logRecord.getWriter().equals(context.self());
    Optional<DualTimestamp> sentAt =
        own ? context.logWriter.firstSentAt(logRecord.getSequence()) : Optional.empty();
    LeaseEvent leaseEvent = new LeaseEvent.Read(offset, logRecord, folded.accepted(), sentAt);
    context.updateLeases(leaseEvent, leaseEvent);
    context.recordRelay = context.recordRelay.withRecord(folded.recordAt());
    folded
        .rejection()
        .ifPresent(
            reason -> context.actions.add(new CoordinatorAction.RecordRejected(offset, reason)));
    if (logRecord.getBody() instanceof UsageSealed sealed && folded.accepted()) {
      context.usageStore = context.usageStore.applySeal(sealed);
    }
    if (logRecord.getBody() instanceof Checkpoint checkpoint) {
      context.checkpointSchedule = context.checkpointSchedule.onRead(checkpoint, own);
    }
    if (own) {
      handleOwnRecord(context, logRecord);
    }
  }

  private static void handleOwnRecord(StepContext context, LogRecord logRecord) {
    RecordBody body = logRecord.getBody();
    if (body instanceof OrderIntent intent) {
      context.updateOrderer(new OrderEvent.IntentRead(intent.getTarget()));
    }
    context.updateUsageReporter(new UsageEvent.ReadBack(body));
    ControlState.TaskState previous = context.taskState;
    boolean releasePending = previous.releasePending() && !(body instanceof PieceRelease);
    boolean tablePending = previous.tablePending() && !(body instanceof PieceTable);
    context.taskState =
        new ControlState.TaskState(
            previous.shuttingDown(),
            previous.endSubmitted(),
            previous.endRead(),
            releasePending,
            tablePending,
            previous.nextUsageCopyMs(),
            previous.nextPieceCheckMs());
    context.updateLogWriter(new LogWriter.Event.ReadBack(logRecord.getSequence()));
  }

  /**
   * Resets the components after a checkpoint replaced the state. The skipped records may include
   * records of this process; the restored state contains the sequence number of the last one.
   */
  private static void handleRestored(StepContext context, FoldedState state) {
    context.updateLeases(
        new LeaseEvent.Restored(state.lease(context.fleetLease.role())),
        new LeaseEvent.Restored(state.lease(context.usageLease.role())));
    context.recordRelay = context.recordRelay.withoutRecords();
    context.orderer = Orderer.of(context.region(), context.self());
    context.usageReporter = UsageReporter.of(context.region(), context.self());
    context.checkpointSchedule =
        new CheckpointSchedule(
            context.checkpointSchedule.retentionRecords(), state.upToOffset(), false);
    state
        .process(context.self().getVm())
        .filter(process -> process.getIncarnation().equals(context.self()))
        .map(ProcessState::getSequence)
        .ifPresent(sequence -> context.updateLogWriter(new LogWriter.Event.ReadBack(sequence)));
    ControlState.TaskState previous = context.taskState;
    context.taskState =
        new ControlState.TaskState(
            previous.shuttingDown(),
            previous.endSubmitted(),
            previous.endRead(),
            false,
            false,
            previous.nextUsageCopyMs(),
            previous.nextPieceCheckMs());
  }
}
