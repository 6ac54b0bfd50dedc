package io.samphiregauge.core.control;

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
import java.util.OptionalLong;

/** Hands what was read, from the log or from a peer, to all parts. */
final class LogPart {
  private LogPart() {}

  static void page(Work work, RecordsPage page, long requestSentMs) {
    take(work, work.reader.read(page));
    if (work.reader.isCaughtUp(page)) {
      work.freshness = work.freshness.withOwnContact(requestSentMs);
    }
    if (!page.getRecords().isEmpty()) {
      PeerPart.hint(work, List.of(), List.of());
    }
    tellMembers(work);
  }

  /** A reply counts as contact only for a request of this process, and from before that. */
  static void reply(Work work, RecordsReply reply) {
    OptionalLong sentMs = work.relay.sentMs(reply.getNumber().orElse(0L));
    if (sentMs.isEmpty()) {
      return;
    }
    work.relay = work.relay.answered(reply.getNumber().orElseThrow());
    reply
        .getSnapshot()
        .flatMap(snapshot -> work.reader.restore(snapshot).value())
        .ifPresent(step -> take(work, step));
    take(work, work.reader.readRelayed(reply.getAfterOffset(), reply.getRecords()));
    boolean hasAll =
        reply.getSnapshot().isPresent() || work.state().upToOffset() >= reply.getAfterOffset();
    if (hasAll && reply.getLogContactAgeMs() >= 0) {
      work.freshness =
          work.freshness.withPeerContact(sentMs.getAsLong(), reply.getLogContactAgeMs());
    }
    tellMembers(work);
  }

  private static void tellMembers(Work work) {
    work.toMembers(
        new MemberEvent.Progress(work.state().upToOffset(), work.freshness.ownContactMs()));
  }

  private static void take(Work work, Step<LogReader, LogReader.ReadOutcome> step) {
    work.reader = step.state();
    for (LogReader.ReadOutcome read : step.actions()) {
      if (read instanceof LogReader.ReadOutcome.Folded folded) {
        folded(work, folded);
      }
      if (read instanceof LogReader.ReadOutcome.Restored restored) {
        restored(work, restored.state());
      }
    }
  }

  private static void folded(Work work, LogReader.ReadOutcome.Folded folded) {
    LogRecord entry = folded.recordAt().getRecord();
    long offset = folded.recordAt().getOffset();
    boolean own = entry.getWriter().equals(work.self());
    OptionalLong sentMs = own ? work.writer.firstSentMs(entry.getSequence()) : OptionalLong.empty();
    LeaseEvent read = new LeaseEvent.Read(offset, entry, folded.accepted(), sentMs);
    work.toLeases(read, read);
    work.relay = work.relay.folded(folded.recordAt());
    folded
        .rejection()
        .ifPresent(reason -> work.actions.add(new CoordinatorAction.Ignored(offset, reason)));
    if (entry.getBody() instanceof UsageSealed sealed && folded.accepted()) {
      work.ledger = work.ledger.applySeal(sealed);
    }
    if (entry.getBody() instanceof Checkpoint checkpoint) {
      work.checkpoints = work.checkpoints.onRead(checkpoint, own);
    }
    if (own) {
      ownRecord(work, entry);
    }
  }

  private static void ownRecord(Work work, LogRecord entry) {
    RecordBody body = entry.getBody();
    if (body instanceof OrderIntent intent) {
      work.toOrderer(new OrderEvent.IntentRead(intent.getTarget()));
    }
    work.toReporter(new UsageEvent.ReadBack(body));
    ControlState.Progress p = work.progress;
    boolean releasing = p.releasing() && !(body instanceof PieceRelease);
    boolean tableWritten = p.tableWritten() && !(body instanceof PieceTable);
    work.progress =
        new ControlState.Progress(
            p.leaving(),
            p.endWritten(),
            p.endSeen(),
            releasing,
            tableWritten,
            p.copyMs(),
            p.piecesMs());
    work.toWriter(new LogWriter.Event.ReadBack(entry.getSequence()));
  }

  /** Own records may be among those that were skipped; the state tells up to which one. */
  private static void restored(Work work, FoldedState state) {
    work.toLeases(
        new LeaseEvent.Restored(state.lease(work.fleet.role())),
        new LeaseEvent.Restored(state.lease(work.usage.role())));
    work.relay = work.relay.restored();
    work.orderer = Orderer.of(work.region(), work.self());
    work.reporter = UsageReporter.of(work.region(), work.self());
    work.checkpoints =
        new CheckpointSchedule(work.checkpoints.retentionRecords(), state.upToOffset(), false);
    state
        .process(work.self().getVm())
        .filter(process -> process.getIncarnation().equals(work.self()))
        .map(ProcessState::getSequence)
        .ifPresent(sequence -> work.toWriter(new LogWriter.Event.ReadBack(sequence)));
    ControlState.Progress p = work.progress;
    work.progress =
        new ControlState.Progress(
            p.leaving(), p.endWritten(), p.endSeen(), false, false, p.copyMs(), p.piecesMs());
  }
}
