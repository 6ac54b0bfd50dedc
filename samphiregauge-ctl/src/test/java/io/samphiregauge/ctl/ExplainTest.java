package io.samphiregauge.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Verifies that {@code explain} finds the cause of a failed request in the logs of entries. */
class ExplainTest {
  private static final String LOG_WITH_LOST_RESPONSE =
      """
      2026-12-04T09:59:50.000Z level=INFO logger=x event=backend_usable backend=i-9#1 service=desk
      2026-12-04T09:59:58.100Z level=WARNING logger=x event=store_lost topic=CONFIG cause=timeout
      2026-12-04T09:59:59.000Z level=INFO logger=x event=backend_unusable backend=i-1#1 service=desk
      2026-12-04T09:59:59.500Z level=INFO logger=x event=backend_unusable backend=i-2#1 service=desk
      2026-12-04T10:00:00.000Z event=forward id=ab12 backend=i-1#1 in_flight=0 send=1 left_ms=990
      2026-12-04T10:00:00.010Z event=forward id=other backend=i-2#1 in_flight=0 send=1 left_ms=990
      2026-12-04T10:00:00.200Z event=answer_lost id=ab12 backend=i-1#1 cause="Connection reset" begun=false
      2026-12-04T10:00:00.201Z event=refused id=ab12 status=502 type=answer_lost took_ms=202 route=r team=t
      event=decisions_dropped count=3
      """;

  @TempDir private Path directory;

  private Path log(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text);
  }

  @Test
  void showsHistoryContextAndCause() throws IOException {
    Path one = log("one.log", LOG_WITH_LOST_RESPONSE);
    Path two =
        log(
            "two.log",
            LOG_WITH_LOST_RESPONSE.replace("ab12", "zz").replace("store_lost", "config_applied"));
    CommandRun run =
        CommandRun.run("explain", "ab12", "--json", "--logs", one.toString(), two.toString());
    assertThat(run.status()).as(run.err()).isZero();
    assertThat(run.json().path("history")).hasSize(3);
    assertThat(run.json().path("context").toString())
        .contains("store_lost", "backend_unusable backend=i-1#1")
        .doesNotContain("i-2#1", "i-9#1", "config_applied");
    assertThat(run.json().path("cause").asText()).contains("502", "may have run");
  }

  /** Guards against a refusal whose cause, minutes before, cannot be found from its id. */
  @Test
  void namesTheTraitOfABlockedRequestAndShowsWhenItWasBlocked() throws IOException {
    String blocked =
        """
        2026-12-04T09:55:00.000Z level=INFO logger=x event=trait_blocked trait=dead01
        2026-12-04T09:55:01.000Z level=INFO logger=x event=trait_blocked trait=beef02
        2026-12-04T10:00:00.000Z event=refused id=ab12 status=503 type=crashes_servers took_ms=1 \
        trait=dead01 retry_after_ms=900 route=r team=t
        """;
    CommandRun run =
        CommandRun.run("explain", "ab12", "--json", "--logs", log("b.log", blocked).toString());
    assertThat(run.json().path("cause").asText())
        .contains("503", "crashed their servers", "dead01", "900 ms");
    assertThat(run.json().path("context").toString())
        .contains("09:55:00.000Z", "trait=dead01")
        .doesNotContain("beef02");
  }

  @Test
  void reportsWhenTheLogsDoNotContainTheEndOfTheRequest() throws IOException {
    String truncated =
        LOG_WITH_LOST_RESPONSE.lines().limit(5).reduce("", (all, line) -> all + line + "\n");
    CommandRun run =
        CommandRun.run("explain", "ab12", "--logs", log("cut.log", truncated).toString());
    assertThat(run.out()).contains("no end of it").contains("event=forward id=ab12");
  }

  @Test
  void failsForARequestThatNoLogContains() throws IOException {
    CommandRun run =
        CommandRun.run(
            "explain", "nobody", "--logs", log("one.log", LOG_WITH_LOST_RESPONSE).toString());
    assertThat(run.status()).isEqualTo(1);
    assertThat(run.out()).contains("no line of this request");
  }

  @Test
  void reportsTheLogThatCannotBeRead() {
    CommandRun run = CommandRun.run("explain", "ab12", "--json", "--logs", "/nowhere/x.log");
    assertThat(run.status()).isEqualTo(1);
    assertThat(run.error().path("type").asText()).isEqualTo("unreadable_log");
    assertThat(run.error().path("message").asText()).contains("/nowhere/x.log");
  }
}
