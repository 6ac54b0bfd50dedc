package io.samphiregauge.ctl;

import io.samphiregauge.core.config.Notes;
import io.samphiregauge.core.log.LogReader.ReadOutcome;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.NetFailure;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.Note;
import java.util.Optional;
import java.util.function.LongConsumer;

/**
 * Appends a note and reads the log back until the outcome of the append is known.
 *
 * <p>An append is retried, with the same writer and sequence number, after a read of the log that
 * failed or did not find the record. If several copies are stored, only the first one takes effect.
 */
final class NoteAppender {
  private static final int MAX_ATTEMPTS = 5;
  private static final long INITIAL_BACKOFF_MS = 100;
  private static final long SEQUENCE = 1;

  private final BlockingLogClient log;
  private final Incarnation writer;
  private final LongConsumer pause;

  /**
   * @param writer identity of this run of the command
   * @param pause waits the given number of milliseconds
   */
  NoteAppender(BlockingLogClient log, Incarnation writer, LongConsumer pause) {
    this.log = log;
    this.writer = writer;
    this.pause = pause;
  }

  /**
   * A note that the fold has accepted.
   *
   * @param offset offset of the note in the log
   * @param view the log as read, including the note
   */
  record AcceptedNote(long offset, Note note, LogView view) {}

  /**
   * Validates a note against the configuration in force and appends it.
   *
   * @param view the log as read last
   * @return the accepted note, the reason for its rejection, or the failure of the last attempt;
   *     {@link CtlFailure.OutcomeUnknown} if any attempt may have stored the note
   */
  Result<AcceptedNote> apply(LogView view, Note note) {
    Optional<Failure> rejection = Notes.apply(view.state().config(), note).failure();
    if (rejection.isPresent()) {
      return Result.failed(rejection.get());
    }
    return attempt(view, new LogRecord(writer, SEQUENCE, note), 1, false);
  }

  private Result<AcceptedNote> attempt(
      LogView view, LogRecord record, int attemptNumber, boolean mayAlreadyBeStored) {
    Result<Long> appended = log.append(record);
    boolean mayBeStored = mayAlreadyBeStored || mayBeStored(appended);
    Result<LogView> read = log.readNewRecords(view);
    Optional<Result<AcceptedNote>> outcome =
        read.value().flatMap(current -> findOutcome(current, record));
    if (outcome.isPresent()) {
      return outcome.get();
    }
    if (attemptNumber == MAX_ATTEMPTS) {
      Failure reason = appended.failure().or(read::failure).orElseGet(NoteAppender::recordNotFound);
      return Result.failed(mayBeStored ? new CtlFailure.OutcomeUnknown(reason.message()) : reason);
    }
    pause.accept(INITIAL_BACKOFF_MS << (attemptNumber - 1));
    return attempt(read.value().orElse(view), record, attemptNumber + 1, mayBeStored);
  }

  /**
   * Returns the outcome of the first stored copy of the record. Later copies are always rejected,
   * because the offset that they build on is no longer the latest.
   */
  private Optional<Result<AcceptedNote>> findOutcome(LogView current, LogRecord record) {
    return current.foldedRecords().stream()
        .filter(read -> read.recordAt().getRecord().getWriter().equals(writer))
        .findFirst()
        .map(
            read ->
                read.rejection()
                    .<Result<AcceptedNote>>map(Result::failed)
                    .orElseGet(() -> Result.success(toAcceptedNote(read, record, current))));
  }

  private static AcceptedNote toAcceptedNote(
      ReadOutcome.Folded read, LogRecord record, LogView current) {
    return new AcceptedNote(read.recordAt().getOffset(), (Note) record.getBody(), current);
  }

  /** Returns whether the log may contain the record, now or later. */
  private static boolean mayBeStored(Result<Long> appended) {
    return appended
        .failure()
        .map(f -> !(f instanceof NetFailure.NotConnected || f instanceof NetFailure.Refused))
        .orElse(true);
  }

  private static Failure recordNotFound() {
    return new CtlFailure.TooLate("The record does not appear in the log.");
  }
}
