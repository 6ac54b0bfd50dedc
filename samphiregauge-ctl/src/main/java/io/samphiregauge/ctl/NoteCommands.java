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

/** Commands that check and apply notes. */
final class NoteCommands {
  private static final int KEY_BYTES = 32;
  private static final String KEY_PREFIX = "sgk_";
  private static final SecureRandom RANDOM = new SecureRandom();

  private NoteCommands() {}

  /** Checks a file, and where a log is named also whether its note fits the configuration. */
  static Result<Report> check(Session session, Path file) {
    Result<Note> note =
        NoteFiles.read(file).map(read -> NoteFiles.toNote(read, NoteRollout.operatorName(), -1));
    if (!session.hasLog()) {
      return note.map(made -> checkReport(file, made, Optional.empty()));
    }
    return session
        .logClient()
        .flatMap(LogClient::readAll)
        .flatMap(view -> checkAgainstLog(view, file))
        .flatMap(
            made -> note.map(n -> checkReport(file, n, Optional.of(made.getBuildsOnOffset()))));
  }

  /** Applies the note of a file. */
  static Result<Report> apply(Session session, Path file) {
    return NoteFiles.read(file)
        .flatMap(
            read ->
                applyNote(
                    session,
                    view ->
                        Result.success(
                            NoteFiles.toNote(
                                read, NoteRollout.operatorName(), view.state().noteOffset()))));
  }

  /**
   * Withdraws a backend server: entries send it nothing new once the note is in force, and what
   * runs there finishes.
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

  /** Makes a key, and where a team is named applies a note that gives it to the team. */
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
    return NoteRollout.append(session, view -> withKey(view, team.get(), digest))
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

  private static Result<Report> applyNote(Session session, Function<LogView, Result<Note>> note) {
    return NoteRollout.append(session, note)
        .map(accepted -> NoteRollout.toReport(NoteRollout.awaitInForce(session, accepted)));
  }

  private static Result<Note> checkAgainstLog(LogView view, Path file) {
    long noteOffset = view.state().noteOffset();
    return NoteFiles.read(file)
        .map(read -> NoteFiles.toNote(read, NoteRollout.operatorName(), noteOffset))
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

  private static Result<Note> withKey(LogView view, String name, String digest) {
    return view.state()
        .config()
        .team(name)
        .<Result<Note>>map(
            team ->
                Result.success(
                    createNote(
                        view,
                        new Configuration(
                            List.of(withKey(team, digest)), List.of(), List.of(), List.of()),
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

  private static Team withKey(Team team, String digest) {
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

  static String generateKey() {
    byte[] bytes = new byte[KEY_BYTES];
    RANDOM.nextBytes(bytes);
    return KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }
}
