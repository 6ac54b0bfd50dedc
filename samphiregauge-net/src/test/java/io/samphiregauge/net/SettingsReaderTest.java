package io.samphiregauge.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.config.Settings;
import io.samphiregauge.schema.file.NoteFile;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against invalid files that are accepted, or whose error omits the field or the file. */
class SettingsReaderTest {
  private static final String VALID = validSettings();

  @Test
  void readsAFileWithComments() {
    Settings settings = read(VALID).value().orElseThrow();
    assertThat(settings.getVm()).isEqualTo("vm1");
    assertThat(settings.getDirectoryKeepMs()).isEqualTo(5_000);
    assertThat(settings.getMaxBodyBytes()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          "vm"              | "vmm"                 | $.vmm
          "directoryKeepMs": 5000 | "directoryKeepMs": "5s" | $.directoryKeepMs
          "directoryKeepMs" | "directoryKeepSeconds" | $.directoryKeepSeconds
          "clientHopUs": 200 | "clientHopUs": 0.2    | $.clientHopUs
          "clientHopUs": 200 | "clientHopUs": -1     | $.clientHopUs
          "clientHopUs": 200 | "clientHopUs": 99999999999 | clientHopUs
          "seedPeers": []   | "seedPeers": ["vm2"]  | $.seedPeers[0]
          "httpAddress": "127.0.0.1:8080", | ''     | $.httpAddress
          127.0.0.1:8080    | localhost:8080        | $.httpAddress
          http://127        | https://127           | $.logUrl
          "luzon",          | "luzon"               | line 5
          "region"          | "vm"                  | line 4
          """)
  void reportsLocationAndFile(String original, String replacement, String location) {
    assertThat(VALID).contains(original);
    SettingsReader.BadFile failure = failure(read(VALID.replace(original, replacement)));
    assertThat(failure.location()).contains(location);
    assertThat(failure.message()).contains("settings.json", location);
  }

  @Test
  void reportsFieldOfNoteFile() {
    String team =
        "{\"added\":{\"teams\":[{\"name\":\"t\",\"keyDigests\":[\"secret\"],\"models\":[],"
            + "\"services\":[],\"weight\":1}]}}";
    Result<NoteFile> note = read(bytes(team), "file/note_file.json", NoteFile.class);
    assertThat(failure(note).location()).isEqualTo("$.added.teams[0].keyDigests[0]");
  }

  @Test
  void reportsMissingFile() {
    Path missing = Path.of("/nowhere/settings.json");
    Result<Settings> result = SettingsReader.read(missing, "config/settings.json", Settings.class);
    assertThat(failure(result).message()).contains("/nowhere/settings.json", "cannot be read");
  }

  @Property(seed = "17", tries = 500)
  void returnsTypedFailureForArbitraryBytes(@ForAll byte[] bytes) {
    assertThat(failure(read(bytes, "config/settings.json", Settings.class)).file()).isNotNull();
  }

  /** Changes one byte of a valid file; the reader may accept the result, but must not throw. */
  @Property(seed = "17", tries = 500)
  void doesNotThrowForAnyChangedByte(
      @ForAll @IntRange(max = 400) int index, @ForAll byte replacement) {
    byte[] bytes = bytes(VALID);
    bytes[index % bytes.length] = replacement;
    Result<Settings> result = read(bytes, "config/settings.json", Settings.class);
    result.failure().ifPresent(f -> assertThat(f).isInstanceOf(SettingsReader.BadFile.class));
    result.value().ifPresent(settings -> assertThat(settings.getLogUrl()).startsWith("http://"));
  }

  private static Result<Settings> read(String content) {
    return read(bytes(content), "config/settings.json", Settings.class);
  }

  private static <T> Result<T> read(byte[] content, String schema, Class<T> type) {
    try {
      Path folder = Files.createTempDirectory("settings");
      Path file = folder.resolve("settings.json");
      Files.write(file, content);
      Result<T> result = SettingsReader.read(file, schema, type);
      Files.delete(file);
      Files.delete(folder);
      return result;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static SettingsReader.BadFile failure(Result<?> result) {
    return (SettingsReader.BadFile) result.failure().orElseThrow();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static String validSettings() {
    try (InputStream file = SettingsReaderTest.class.getResourceAsStream("/settings/good.json")) {
      return new String(Objects.requireNonNull(file).readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
