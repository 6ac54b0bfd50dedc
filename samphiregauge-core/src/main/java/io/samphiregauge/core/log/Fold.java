package io.samphiregauge.core.log;

import static io.samphiregauge.core.log.FoldedState.NO_OFFSET;

import io.samphiregauge.core.config.ConfigView;
import io.samphiregauge.core.config.NoteFailure;
import io.samphiregauge.core.config.Notes;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.record.Checkpoint;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.LeaseClaim;
import io.samphiregauge.schema.record.LeaseRelease;
import io.samphiregauge.schema.record.LeaseRenewal;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.Note;
import io.samphiregauge.schema.record.OrderDone;
import io.samphiregauge.schema.record.OrderIntent;
import io.samphiregauge.schema.record.PieceRelease;
import io.samphiregauge.schema.record.PieceTable;
import io.samphiregauge.schema.record.ProcessState;
import io.samphiregauge.schema.record.SealedWindow;
import io.samphiregauge.schema.record.UsageReportIntent;
import io.samphiregauge.schema.record.UsageReported;
import io.samphiregauge.schema.record.UsageSealed;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Applies log records to the folded state. The result depends only on the state, the offset and the
 * record, so all processes that fold the same log compute the same state.
 *
 * <pre>{@code
 * FoldStep step = Fold.apply(state, offset, record);
 * }</pre>
 */
public final class Fold {
  private Fold() {}

  /**
   * Applies a record to the state.
   *
   * @param state state before the record
   * @param offset log offset of the record; a record not after the state is rejected as a duplicate
   * @param record the record
   * @return the state after the record; a rejected record advances only the offset and the sequence
   *     number of its writer
   */
  public static FoldStep apply(FoldedState state, long offset, LogRecord record) {
    if (offset <= state.upToOffset()) {
      return new FoldStep(
          state, Optional.of(new RecordFailure.Repeated(offset, state.upToOffset())));
    }
    FoldedState advanced = state.withOffset(offset);
    Result<FoldedState> result =
        checkWriter(advanced, record).flatMap(checked -> applyBody(checked, offset, record));
    return result.fold(
        next -> new FoldStep(next, Optional.empty()),
        failure -> new FoldStep(recordSequence(advanced, record), Optional.of(failure)));
  }

  /**
   * Restores the state that a checkpoint was created from.
   *
   * @param checkpoint the checkpoint
   * @return the state at the offset of the checkpoint
   */
  public static FoldedState restore(Checkpoint checkpoint) {
    TreeMap<String, Long> sealed = new TreeMap<>();
    for (SealedWindow window : checkpoint.getSealedWindows()) {
      sealed.put(window.getRegion(), window.getWindow());
    }
    return new FoldedState(
        checkpoint.getUpToOffset(),
        checkpoint.getNoteOffset(),
        ConfigView.of(checkpoint.getConfiguration()),
        FoldedState.indexBy(checkpoint.getLeases(), lease -> lease.getRole()),
        FoldedState.indexBy(checkpoint.getProcesses(), p -> p.getIncarnation().getVm()),
        FoldedState.indexBy(checkpoint.getOpenIntents(), intent -> intent.getOffset()),
        FoldedState.indexBy(checkpoint.getWindows(), w -> UsageFold.keyOf(w.getSealed())),
        sealed,
        FoldedState.indexBy(checkpoint.getPieces(), table -> table.getRegion()),
        FoldedState.indexBy(
            checkpoint.getLastOrderers().orElse(List.of()), orderer -> orderer.getTarget()),
        List.copyOf(checkpoint.getMissingUsage().orElse(List.of())));
  }

  /**
   * Rejects duplicates, and records of processes that are not live. Notes are exempt because they
   * come from operators, which do not join; {@code Joined} records are checked when applied.
   */
  private static Result<FoldedState> checkWriter(FoldedState state, LogRecord record) {
    RecordBody body = record.getBody();
    if (body instanceof Note || body instanceof Joined) {
      return Result.success(state);
    }
    Incarnation writer = record.getWriter();
    if (!state.isLive(writer)) {
      return Result.failed(new RecordFailure.WriterNotLive(writer.getVm()));
    }
    long lastSequence =
        state.process(writer.getVm()).map(ProcessState::getSequence).orElse(NO_OFFSET);
    if (record.getSequence() <= lastSequence) {
      return Result.failed(new RecordFailure.Repeated(record.getSequence(), lastSequence));
    }
    return Result.success(recordSequence(state, record));
  }

  private static FoldedState recordSequence(FoldedState state, LogRecord record) {
    Incarnation writer = record.getWriter();
    if (!state.isLive(writer)) {
      return state;
    }
    ProcessState process = state.process(writer.getVm()).orElseThrow();
    if (record.getSequence() <= process.getSequence()) {
      return state;
    }
    return state.withProcess(
        new ProcessState(writer, process.getJoined(), process.isEnded(), record.getSequence()));
  }

  private static Result<FoldedState> applyBody(FoldedState state, long offset, LogRecord record) {
    RecordBody body = record.getBody();
    Incarnation writer = record.getWriter();
    if (body instanceof Note note) {
      return applyNote(state, offset, note);
    }
    if (body instanceof Joined joined) {
      return ProcessFold.join(state, writer, record.getSequence(), joined);
    }
    if (body instanceof Ended ended) {
      return ProcessFold.end(state, writer, ended);
    }
    if (body instanceof LeaseClaim claim) {
      return LeaseFold.claim(state, offset, writer, claim);
    }
    if (body instanceof LeaseRenewal renewal) {
      return LeaseFold.renew(state, offset, writer, renewal);
    }
    if (body instanceof LeaseRelease release) {
      return LeaseFold.release(state, offset, writer, release);
    }
    if (body instanceof OrderIntent intent) {
      return OrderFold.openIntent(state, offset, writer, intent);
    }
    if (body instanceof OrderDone done) {
      return OrderFold.closeIntent(state, writer, done);
    }
    if (body instanceof PieceTable table) {
      return PieceFold.assign(state, writer, table);
    }
    if (body instanceof PieceRelease release) {
      return PieceFold.release(state, writer, release);
    }
    if (body instanceof UsageSealed sealed) {
      return UsageFold.seal(state, offset, writer, sealed);
    }
    if (body instanceof UsageReportIntent intent) {
      return UsageFold.markReportIntended(state, writer, intent);
    }
    if (body instanceof UsageReported reported) {
      return UsageFold.removeReported(state, writer, reported);
    }
    return applyCheckpoint(state, body);
  }

  /** A checkpoint repeats the state that was already computed from the log, so it has no effect. */
  private static Result<FoldedState> applyCheckpoint(FoldedState state, RecordBody body) {
    if (body instanceof Checkpoint) {
      return Result.success(state);
    }
    return Result.failed(
        new RecordFailure.NotAllowed(
            "Unknown record kind " + body.getClass().getSimpleName() + "."));
  }

  private static Result<FoldedState> applyNote(FoldedState state, long offset, Note note) {
    if (note.getBuildsOnOffset() != state.noteOffset()) {
      Failure conflict = new NoteFailure.Conflict(note.getBuildsOnOffset(), state.noteOffset());
      return Result.failed(conflict);
    }
    return Notes.apply(state.config(), note).map(config -> state.withNote(offset, config));
  }
}
