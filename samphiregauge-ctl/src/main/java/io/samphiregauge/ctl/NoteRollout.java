package io.samphiregauge.ctl;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.ctl.ApplyReport;
import io.samphiregauge.schema.ctl.EntryState;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Note;
import java.security.SecureRandom;
import java.util.List;
import java.util.function.Function;

/** Appends a note to the log and polls the entries until they have it in force. */
final class NoteRollout {
  /**
   * Delays before the polls. They add up to 4 s, the time within which an accepted configuration is
   * in force on all entries.
   */
  private static final long[] POLL_DELAYS_MS = {0, 100, 400, 1_000, 2_500};

  private static final SecureRandom RANDOM = new SecureRandom();

  private NoteRollout() {}

  /** Returns the author of notes that name none: the name of the operating system user. */
  static String operatorName() {
    return System.getProperty("user.name", "operator");
  }

  /**
   * Appends a note.
   *
   * @param noteFactory creates the note from the current contents of the log
   */
  static Result<NoteAppender.AcceptedNote> append(
      Session session, Function<LogView, Result<Note>> noteFactory) {
    return session
        .logClient()
        .flatMap(
            log ->
                log.readAll()
                    .flatMap(
                        view ->
                            noteFactory
                                .apply(view)
                                .flatMap(
                                    note ->
                                        new NoteAppender(log, incarnation(), session::pause)
                                            .apply(view, note))));
  }

  /** Polls the entries until the note is in force on all, or until the last delay has passed. */
  static ApplyReport awaitInForce(Session session, NoteAppender.AcceptedNote accepted) {
    List<EntryClient.Target> targets = session.targets(accepted.view().state());
    List<EntryState> states = List.of();
    for (long delayMs : POLL_DELAYS_MS) {
      session.pause(delayMs);
      states = session.entryClient().fetch(targets);
      if (countInForce(states, accepted) == targets.size()) {
        break;
      }
    }
    return new ApplyReport(
        accepted.offset(),
        accepted.note().getAuthor(),
        NoteFiles.summary(accepted.note()),
        countInForce(states, accepted),
        states);
  }

  static Report toReport(ApplyReport applied) {
    return Report.of(
        applied,
        "The note at offset %d is accepted: %s."
            .formatted(applied.getOffset(), applied.getSummary()),
        "It is in force on %d of %d entries."
            .formatted(applied.getEntriesInForce(), applied.getEntries().size()));
  }

  private static int countInForce(List<EntryState> states, NoteAppender.AcceptedNote accepted) {
    return (int) states.stream().filter(s -> s.getNoteOffset() >= accepted.offset()).count();
  }

  /**
   * Creates an identity for this run of the command. The fold does not track sequence numbers of
   * writers that have not joined.
   */
  private static Incarnation incarnation() {
    return new Incarnation(
        "samphirectl", System.currentTimeMillis(), RANDOM.nextLong(Long.MAX_VALUE));
  }
}
