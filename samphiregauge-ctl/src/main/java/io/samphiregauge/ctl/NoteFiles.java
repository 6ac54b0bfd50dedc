package io.samphiregauge.ctl;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.SettingsReader;
import io.samphiregauge.schema.config.Configuration;
import io.samphiregauge.schema.config.Withdrawal;
import io.samphiregauge.schema.file.ConfigSection;
import io.samphiregauge.schema.file.NoteFile;
import io.samphiregauge.schema.file.WithdrawnSection;
import io.samphiregauge.schema.record.Note;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Turns release note files into notes, and notes into a line for people. */
final class NoteFiles {
  private NoteFiles() {}

  static Result<NoteFile> read(Path file) {
    return SettingsReader.read(file, "file/note_file.json", NoteFile.class);
  }

  /**
   * Makes a note of a file; sections that the file lacks are empty.
   *
   * @param defaultAuthor operator, where the file names none
   * @param lastNoteOffset offset to build on, where the file names none
   */
  static Note toNote(NoteFile file, String defaultAuthor, long lastNoteOffset) {
    return new Note(
        file.getBuildsOnOffset().orElse(lastNoteOffset),
        file.getAuthor().orElse(defaultAuthor),
        configuration(file.getAdded()),
        configuration(file.getChanged()),
        withdrawal(file.getWithdrawn()));
  }

  /** Says in one line what a note does, such as {@code added team t1; withdrawn backend e1}. */
  static String summary(Note note) {
    List<String> parts = new ArrayList<>();
    describe(parts, "added", note.getAdded());
    describe(parts, "changed", note.getChanged());
    Withdrawal gone = note.getWithdrawn();
    name(parts, "withdrawn team", gone.getTeams());
    name(parts, "withdrawn model", gone.getModels());
    name(parts, "withdrawn service", gone.getServices());
    name(parts, "withdrawn backend", gone.getBackends());
    if (!gone.getKeyDigests().isEmpty()) {
      parts.add("withdrawn %d keys".formatted(gone.getKeyDigests().size()));
    }
    return parts.isEmpty() ? "nothing" : String.join("; ", parts);
  }

  static Configuration nothing() {
    return new Configuration(List.of(), List.of(), List.of(), List.of());
  }

  static Withdrawal nothingWithdrawn() {
    return new Withdrawal(List.of(), List.of(), List.of(), List.of(), List.of());
  }

  private static void describe(List<String> parts, String verb, Configuration part) {
    name(parts, verb + " team", part.getTeams().stream().map(t -> t.getName()).toList());
    name(parts, verb + " model", part.getModels().stream().map(m -> m.getName()).toList());
    name(parts, verb + " service", part.getServices().stream().map(s -> s.getName()).toList());
    name(parts, verb + " backend", part.getBackends().stream().map(b -> b.getName()).toList());
    part.getFleetPolicy().ifPresent(policy -> parts.add(verb + " fleet policy"));
  }

  private static void name(List<String> parts, String what, List<String> names) {
    if (!names.isEmpty()) {
      parts.add(what + " " + String.join(", ", names));
    }
  }

  private static Configuration configuration(Optional<ConfigSection> section) {
    ConfigSection given = section.orElseGet(ConfigSection::new);
    return new Configuration(
        given.getTeams().orElse(List.of()),
        given.getModels().orElse(List.of()),
        given.getServices().orElse(List.of()),
        given.getBackends().orElse(List.of()),
        given.getFleetPolicy().orElse(null));
  }

  private static Withdrawal withdrawal(Optional<WithdrawnSection> section) {
    WithdrawnSection given = section.orElseGet(WithdrawnSection::new);
    return new Withdrawal(
        given.getTeams().orElse(List.of()),
        given.getKeyDigests().orElse(List.of()),
        given.getModels().orElse(List.of()),
        given.getServices().orElse(List.of()),
        given.getBackends().orElse(List.of()));
  }
}
