package io.samphiregauge.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The daemon must not start with an invalid command line or settings, and its error must name the
 * invalid option, or the file and the field.
 */
class MainTest {
  private static final String SETTINGS =
      """
      {
        // Port 0 selects a free port.
        "vm": "vm1", "region": "luzon", "failureDomain": "a",
        "httpAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:0",
        "logUrl": "http://127.0.0.1:1", "seedPeers": [],
        "clientHopUs": 200, "domainHopUs": 100, "directoryKeepMs": 100, "trafficThreads": 1
      }
      """;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final AtomicReference<String> served = new AtomicReference<>("");
  @TempDir private Path folder;

  @Test
  void printsHelpAndVersion() {
    assertThat(run("--help")).isZero();
    assertThat(text(out)).contains("--settings", "--version");
    assertThat(run("--version")).isZero();
    assertThat(text(out)).contains("samphiregauge ");
    assertThat(text(err)).isEmpty();
  }

  @Test
  void rejectsInvalidCommandLine() {
    assertThat(run("--nonsense")).isEqualTo(2);
    assertThat(run()).isEqualTo(2);
    assertThat(text(err)).contains("--nonsense", "--settings");
    assertThat(text(out)).isEmpty();
  }

  @Test
  void reportsTheFieldAndTheFileOfAnInvalidSetting() throws IOException {
    Path file = Files.writeString(folder.resolve("bad.json"), SETTINGS.replace("200", "\"soon\""));
    assertThat(run("--settings", file.toString())).isEqualTo(1);
    assertThat(text(err)).contains("bad.json", "clientHopUs");
  }

  @Test
  void startsWithValidSettings() throws IOException {
    Path file = Files.writeString(folder.resolve("good.json"), SETTINGS);
    assertThat(run("--settings", file.toString())).isZero();
    assertThat(served.get()).startsWith("127.0.0.1:");
    assertThat(text(out)).contains("event=serving address=" + served.get());
  }

  private int run(String... args) {
    return new Main(print(out), print(err), this::serve).run(args);
  }

  private int serve(Entry entry) {
    served.set(entry.address().toString());
    entry.close();
    return 0;
  }

  private static PrintStream print(ByteArrayOutputStream bytes) {
    return new PrintStream(bytes, true, StandardCharsets.UTF_8);
  }

  private static String text(ByteArrayOutputStream bytes) {
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
