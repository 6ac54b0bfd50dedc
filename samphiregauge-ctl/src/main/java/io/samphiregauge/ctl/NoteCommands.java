package io.samphiregauge.ctl;

import io.samphiregauge.core.config.KeyDigest;
import io.samphiregauge.core.config.NoteFailure;
import io.samphiregauge.core.config.Notes;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.config.Configuration;
import io.samphiregauge.schema.config.Team;
import io.samphiregauge.schema.config.Withdrawal;
import io.samphiregauge.schema.ctl.ApplyReport;
import io.samphiregauge.schema.ctl.CheckReport;
import io.samphiregauge.schema.ctl.KeyReport;
import io.samphiregauge.schema.record.Note;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** Commands that validate, create and apply notes. */
final class NoteCommands {
  private static final int KEY_BYTES = 32;
  private static final String KEY_PREFIX = "sgk_";
  private static final SecureRandom RANDOM = new SecureRandom();

  private NoteCommands() {}

  /**
   * Validates a note file. If the session has a log, its note is also validated against the
   * configuration in force.
   */
  static Result<Report> check(Session session, Path file) {
    Result<Note> note =
        NoteFiles.read(file)
            .map(noteFile -> NoteFiles.toNote(noteFile, NoteRollout.operatorName(), -1));
    if (!session.hasLog()) {
      return note.map(valid -> checkReport(file, valid, Optional.empty()));
    }
    return session
        .logClient()
        .flatMap(BlockingLogClient::readAll)
        .flatMap(view -> checkAgainstLog(view, file))
        .flatMap(
            checked ->
                note.map(
                    valid -> checkReport(file, valid, Optional.of(checked.getBuildsOnOffset()))));
  }

  /** Appends the note of a file to the log and polls the entries until it is in force on them. */
  static Result<Report> apply(Session session, Path file) {
    return NoteFiles.read(file)
        .flatMap(
            noteFile ->
                applyNote(
                    session,
                    view ->
                        Result.success(
                            NoteFiles.toNote(
                                noteFile, NoteRollout.operatorName(), view.state().noteOffset()))));
  }

  /**
   * Withdraws a backend server: once the note is in force, entries send it no new requests; the
   * requests that run there complete.
   */
  static Result<Report> drain(Session session, String backend) {
    Withdrawal withdrawal =
        new Withdrawal(List.of(), List.of(), List.of(), List.of(), List.of(backend));
    return applyNote(
        session,
        view ->
            view.state().config().backend(backend).isPresent()
                ? Result.success(createNote(view, NoteFiles.emptyConfiguration(), withdrawal))
                : Result.failed(new CtlFailure.UnknownReference("backend server", backend)));
  }

  /** Generates a key; with a team, also applies a note that adds its digest to the team. */
  static Result<Report> newKey(Session session, Optional<String> team) {
    String key = generateKey();
    String digest = KeyDigest.of(key);
    if (team.isEmpty()) {
      return Result.success(
          Report.of(
              new KeyReport(key, digest),
              "key:    " + key,
              "digest: " + digest,
              "The key is not shown again. Put the digest into a note."));
    }
    return NoteRollout.append(session, view -> noteAddingKey(view, team.get(), digest))
        .map(accepted -> NoteRollout.awaitInForce(session, accepted))
        .map(applied -> newKeyReport(key, digest, team.get(), applied));
  }

  private static Report newKeyReport(String key, String digest, String team, ApplyReport applied) {
    return Report.of(
        new KeyReport(key, digest, team, applied.getOffset()),
        "key:    " + key,
        "digest: " + digest,
        "The key is not shown again. It belongs to the team \"%s\" since offset %d."
            .formatted(team, applied.getOffset()),
        "It is in force on %d of %d entries."
            .formatted(applied.getEntriesInForce(), applied.getEntries().size()));
  }

  private static Result<Report> applyNote(
      Session session, Function<LogView, Result<Note>> noteFactory) {
    return NoteRollout.append(session, noteFactory)
        .map(accepted -> NoteRollout.toReport(NoteRollout.awaitInForce(session, accepted)));
  }

  private static Result<Note> checkAgainstLog(LogView view, Path file) {
    long noteOffset = view.state().noteOffset();
    return NoteFiles.read(file)
        .map(noteFile -> NoteFiles.toNote(noteFile, NoteRollout.operatorName(), noteOffset))
        .flatMap(
            note ->
                note.getBuildsOnOffset() == noteOffset
                    ? Notes.apply(view.state().config(), note).map(config -> note)
                    : Result.failed(
                        new NoteFailure.Conflict(note.getBuildsOnOffset(), noteOffset)));
  }

  private static Report checkReport(Path file, Note note, Optional<Long> noteOffset) {
    String summary = NoteFiles.summary(note);
    String configurationLine =
        noteOffset
            .map(offset -> "It fits the configuration of offset %d.".formatted(offset))
            .orElse("It was not checked against a log.");
    return Report.of(
        new CheckReport(file.toString(), summary, noteOffset.orElse(null)),
        "%s is valid: %s.".formatted(file, summary),
        configurationLine);
  }

  private static Result<Note> noteAddingKey(LogView view, String name, String digest) {
    return view.state()
        .config()
        .team(name)
        .<Result<Note>>map(
            team ->
                Result.success(
                    createNote(
                        view,
                        new Configuration(
                            List.of(teamWithKey(team, digest)), List.of(), List.of(), List.of()),
                        NoteFiles.emptyWithdrawal())))
        .orElseGet(() -> Result.failed(new CtlFailure.UnknownReference("team", name)));
  }

  private static Note createNote(LogView view, Configuration changed, Withdrawal withdrawn) {
    return new Note(
        view.state().noteOffset(),
        NoteRollout.operatorName(),
        NoteFiles.emptyConfiguration(),
        changed,
        withdrawn);
  }

  private static Team teamWithKey(Team team, String digest) {
    List<String> digests = new ArrayList<>(team.getKeyDigests());
    digests.add(digest);
    return new Team(
        team.getName(),
        digests,
        team.getModels(),
        team.getServices(),
        team.getWeight(),
        team.getRequestsPerSecond().orElse(null),
        team.getMaxConcurrent().orElse(null),
        team.getSpendPerHourMicros().orElse(null));
  }

  /** Generates an API key of {@value #KEY_BYTES} random bytes. */
  static String generateKey() {
    byte[] bytes = new byte[KEY_BYTES];
    RANDOM.nextBytes(bytes);
    return KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }
}
