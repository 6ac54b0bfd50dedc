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

/** Reads release note files, converts them to notes, and summarizes notes in one line. */
final class NoteFiles {
  private NoteFiles() {}

  static Result<NoteFile> read(Path file) {
    return SettingsReader.read(file, "file/note_file.json", NoteFile.class);
  }

  /**
   * Converts a file to a note; sections that are absent in the file are empty.
   *
   * @param defaultAuthor author, where the file names none
   * @param lastNoteOffset offset that the note builds on, where the file names none
   */
  static Note toNote(NoteFile file, String defaultAuthor, long lastNoteOffset) {
    return new Note(
        file.getBuildsOnOffset().orElse(lastNoteOffset),
        file.getAuthor().orElse(defaultAuthor),
        toConfiguration(file.getAdded()),
        toConfiguration(file.getChanged()),
        toWithdrawal(file.getWithdrawn()));
  }

  /** Summarizes a note in one line, such as {@code added team t1; withdrawn backend e1}. */
  static String summary(Note note) {
    List<String> parts = new ArrayList<>();
    addChangedNames(parts, "added", note.getAdded());
    addChangedNames(parts, "changed", note.getChanged());
    Withdrawal withdrawn = note.getWithdrawn();
    addNames(parts, "withdrawn team", withdrawn.getTeams());
    addNames(parts, "withdrawn model", withdrawn.getModels());
    addNames(parts, "withdrawn service", withdrawn.getServices());
    addNames(parts, "withdrawn backend", withdrawn.getBackends());
    if (!withdrawn.getKeyDigests().isEmpty()) {
      parts.add("withdrawn %d keys".formatted(withdrawn.getKeyDigests().size()));
    }
    return parts.isEmpty() ? "nothing" : String.join("; ", parts);
  }

  static Configuration emptyConfiguration() {
    return new Configuration(List.of(), List.of(), List.of(), List.of());
  }

  static Withdrawal emptyWithdrawal() {
    return new Withdrawal(List.of(), List.of(), List.of(), List.of(), List.of());
  }

  private static void addChangedNames(List<String> parts, String verb, Configuration section) {
    addNames(parts, verb + " team", section.getTeams().stream().map(t -> t.getName()).toList());
    addNames(parts, verb + " model", section.getModels().stream().map(m -> m.getName()).toList());
    addNames(
        parts, verb + " service", section.getServices().stream().map(s -> s.getName()).toList());
    addNames(
        parts, verb + " backend", section.getBackends().stream().map(b -> b.getName()).toList());
    section.getFleetPolicy().ifPresent(policy -> parts.add(verb + " fleet policy"));
  }

  private static void addNames(List<String> parts, String label, List<String> names) {
    if (!names.isEmpty()) {
      parts.add(label + " " + String.join(", ", names));
    }
  }

  private static Configuration toConfiguration(Optional<ConfigSection> section) {
    ConfigSection content = section.orElseGet(ConfigSection::new);
    return new Configuration(
        content.getTeams().orElse(List.of()),
        content.getModels().orElse(List.of()),
        content.getServices().orElse(List.of()),
        content.getBackends().orElse(List.of()),
        content.getFleetPolicy().orElse(null));
  }

  private static Withdrawal toWithdrawal(Optional<WithdrawnSection> section) {
    WithdrawnSection content = section.orElseGet(WithdrawnSection::new);
    return new Withdrawal(
        content.getTeams().orElse(List.of()),
        content.getKeyDigests().orElse(List.of()),
        content.getModels().orElse(List.of()),
        content.getServices().orElse(List.of()),
        content.getBackends().orElse(List.of()));
  }
}
