package io.samphiregauge.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.config.ConfigView;
import io.samphiregauge.core.config.Notes;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.SettingsReader;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.config.Settings;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Verifies that the example files are valid and consistent with each other. */
class ExamplesTest {
  private static final Path EXAMPLES = Path.of("../examples");

  @ParameterizedTest
  @ValueSource(strings = {"th-central", "luzon"})
  void settingsAndNoteOfADeploymentFitTogether(String region) {
    Set<String> settingsDomains = new TreeSet<>();
    for (String letter : new String[] {"a", "b", "c", "d"}) {
      Path file = EXAMPLES.resolve(region).resolve("entry-%s.json".formatted(letter));
      Result<Settings> settings = SettingsReader.read(file, "config/settings.json", Settings.class);
      assertThat(settings.failure()).isEmpty();
      assertThat(settings.value().map(Settings::getRegion)).contains(region);
      settings.value().ifPresent(s -> settingsDomains.add(s.getFailureDomain()));
    }
    Set<String> noteDomains =
        firstNote(region).backends().stream()
            .map(Backend::getFailureDomain)
            .collect(Collectors.toSet());
    assertThat(settingsDomains).hasSize(4).isEqualTo(noteDomains);
  }

  @ParameterizedTest
  @ValueSource(strings = {"th-central", "luzon"})
  void firstNoteHasTheTeamsOfTheDeployment(String region) {
    assertThat(firstNote(region).teams()).hasSize(8);
  }

  private static ConfigView firstNote(String region) {
    Path file = EXAMPLES.resolve(region).resolve("first-note.json");
    Result<ConfigView> view =
        NoteFiles.read(file)
            .map(read -> NoteFiles.toNote(read, "test", -1))
            .flatMap(note -> Notes.apply(ConfigView.empty(), note));
    assertThat(view.failure()).isEmpty();
    return view.value().orElseThrow();
  }
}
