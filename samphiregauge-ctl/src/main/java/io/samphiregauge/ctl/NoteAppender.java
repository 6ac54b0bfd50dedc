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
  private static final long FIRST_PAUSE_MS = 100;
  private static final long SEQUENCE = 1;

  private final LogClient log;
  private final Incarnation operator;
  private final LongConsumer pause;

  /**
   * @param operator identity of this run of the command
   * @param pause waits the given number of milliseconds
   */
  NoteAppender(LogClient log, Incarnation operator, LongConsumer pause) {
    this.log = log;
    this.operator = operator;
    this.pause = pause;
  }

  /** A note that the fold has accepted, and the log up to it. */
  record Accepted(long offset, Note note, LogView view) {}

  /**
   * Applies a note.
   *
   * @param view the log as read before
   * @param note the note
   * @return its offset, or why it is not in force
   */
  Result<Accepted> apply(LogView view, Note note) {
    Optional<Failure> unfit = Notes.apply(view.state().config(), note).failure();
    if (unfit.isPresent()) {
      return Result.failed(unfit.get());
    }
    return attempt(view, new LogRecord(operator, SEQUENCE, note), 1, false);
  }

  private Result<Accepted> attempt(
      LogView view, LogRecord record, int number, boolean mayHaveArrived) {
    Result<Long> sent = log.append(record);
    boolean mayBeStored = mayHaveArrived || mayBeStored(sent);
    Result<LogView> read = log.readOn(view);
    Optional<Result<Accepted>> decided = read.value().flatMap(now -> decide(now, record));
    if (decided.isPresent()) {
      return decided.get();
    }
    if (number == MAX_ATTEMPTS) {
      Failure reason = sent.failure().or(read::failure).orElseGet(NoteAppender::notShown);
      return Result.failed(mayBeStored ? new CtlFailure.OutcomeUnknown(reason.message()) : reason);
    }
    pause.accept(FIRST_PAUSE_MS << (number - 1));
    return attempt(read.value().orElse(view), record, number + 1, mayBeStored);
  }

  /** Finds the first copy of the record; later copies build on an offset that has passed. */
  private Optional<Result<Accepted>> decide(LogView now, LogRecord record) {
    return now.folded().stream()
        .filter(read -> read.recordAt().getRecord().getWriter().equals(operator))
        .findFirst()
        .map(
            read ->
                read.rejection()
                    .<Result<Accepted>>map(Result::failed)
                    .orElseGet(() -> Result.success(accepted(read, record, now))));
  }

  private static Accepted accepted(ReadOutcome.Folded read, LogRecord record, LogView now) {
    return new Accepted(read.recordAt().getOffset(), (Note) record.getBody(), now);
  }

  /** Tells whether the log may hold the record, now or later. */
  private static boolean mayBeStored(Result<Long> sent) {
    return sent.failure()
        .map(f -> !(f instanceof NetFailure.NotConnected || f instanceof NetFailure.Refused))
        .orElse(true);
  }

  private static Failure notShown() {
    return new CtlFailure.TooLate("the log does not show the record.");
  }
}
