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
 * Appends a note and reads the log back until it shows what became of it.
 *
 * <p>An append whose answer was lost is repeated with the same writer and sequence number only
 * after the log was read without finding it. Where both arrive, the first one counts.
 */
final class NoteAppender {
  private static final int MAX_ATTEMPTS = 5;
  private static final long INITIAL_BACKOFF_MS = 100;
  private static final long SEQUENCE = 1;

  private final LogClient log;
  private final Incarnation writer;
  private final LongConsumer pause;

  /**
   * @param writer identity of this run of the command
   * @param pause waits the given number of milliseconds
   */
  NoteAppender(LogClient log, Incarnation writer, LongConsumer pause) {
    this.log = log;
    this.writer = writer;
    this.pause = pause;
  }

  /** A note that the fold has accepted, and the log up to it. */
  record AcceptedNote(long offset, Note note, LogView view) {}

  /**
   * Applies a note.
   *
   * @param view the log as read before
   * @param note the note
   * @return its offset, or why it is not in force
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

  /** Finds the first copy of the record; later copies build on an offset that has passed. */
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

  /** Tells whether the log may hold the record, now or later. */
  private static boolean mayBeStored(Result<Long> appended) {
    return appended
        .failure()
        .map(f -> !(f instanceof NetFailure.NotConnected || f instanceof NetFailure.Refused))
        .orElse(true);
  }

  private static Failure recordNotFound() {
    return new CtlFailure.TooLate("the log does not show the record.");
  }
}
