package io.samphiregauge.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.config.KeyDigest;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Verifies exit codes, output streams and error types, which scripts rely on. */
class MainTest {
  @Test
  void printsVersionAndHelpOnStandardOutput() {
    for (String flag : List.of("--version", "--help")) {
      CommandRun run = CommandRun.run(flag);
      assertThat(run.status()).isZero();
      assertThat(run.out()).contains("samphirectl");
      assertThat(run.err()).isEmpty();
    }
  }

  @Test
  void printsTheOptionsOfEachCommand() {
    for (String command : Commands.createAll().keySet()) {
      CommandRun run = CommandRun.run(command, "--help");
      assertThat(run.status()).as(command).isZero();
      assertThat(run.out()).as(command).contains("samphirectl " + command, "--json");
    }
  }

  @Test
  void exitsWithTwoAndAnErrorForAnInvalidCommandLine() {
    List<String[]> lines =
        List.of(
            new String[] {},
            new String[] {"fly"},
            new String[] {"status", "--fast"},
            new String[] {"apply"},
            new String[] {"keys", "old"},
            new String[] {"verify", "--schedules", "0"},
            new String[] {"status"});
    for (String[] line : lines) {
      CommandRun run = CommandRun.run(line);
      assertThat(run.status()).as(String.join(" ", line)).isEqualTo(2);
      assertThat(run.out()).as(String.join(" ", line)).isEmpty();
      assertThat(run.err()).as(String.join(" ", line)).isNotEmpty();
    }
  }

  @Test
  void exitsWithOneAndATypedErrorForAFailure() {
    CommandRun run = CommandRun.run("check", "/nowhere/note.json", "--json");
    assertThat(run.status()).isEqualTo(1);
    assertThat(run.error().path("type").asText()).isEqualTo("bad_file");
    assertThat(run.error().path("message").asText()).contains("/nowhere/note.json");
  }

  @Test
  void generatesADifferentKeyEachTimeWithItsDigest() {
    CommandRun first = CommandRun.run("keys", "new", "--json");
    CommandRun second = CommandRun.run("keys", "new", "--json");
    String key = first.json().path("key").asText();
    assertThat(key).isNotEqualTo(second.json().path("key").asText());
    assertThat(first.json().path("keyDigest").asText()).isEqualTo(KeyDigest.of(key));
  }

  @Test
  void runsFaultSchedules() {
    CommandRun run = CommandRun.run("verify", "--schedules", "2", "--seed", "7", "--json");
    assertThat(run.status()).isZero();
    assertThat(run.json().path("done").asInt()).isEqualTo(2);
  }
}
