package io.samphiregauge.replay;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.schema.replay.ReplayReport;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests replays of the committed traces, which are scaled to a sixteenth of their duration. */
class ReplayTest {
  private static final Path TRACES = Path.of("src/test/resources/traces");
  private static final double SMALL_TIME_SCALE = 0.0625;

  /**
   * Guards against generated traces that differ from the committed ones, which measurements use.
   */
  @Test
  void generatorReproducesCommittedTraces() throws IOException {
    for (String deployment : List.of("th-central", "luzon")) {
      for (String shape : Replay.shapes()) {
        Trace trace =
            Replay.generateTrace(deployment, shape, 1, SMALL_TIME_SCALE).value().orElseThrow();
        String committed = Files.readString(TRACES.resolve(deployment + "-" + shape + ".jsonl"));
        assertThat(Replay.format(trace)).isEqualTo(committed);
      }
    }
  }

  /** Guards against reports that depend on hash order, the wall clock or previous runs. */
  @Test
  void equalArgumentsGiveIdenticalReports() {
    Trace trace = trace("th-central-reclaim");
    String first = Replay.json(run(trace));
    assertThat(Replay.json(run(trace))).isEqualTo(first);
  }

  /** Guards against requests counted twice or not at all, or refused as not run after they ran. */
  @Test
  void everyRequestHasOneOutcomeAndNoRefusedRequestRan() {
    for (ReplayReport report : run(trace("luzon-swing"))) {
      int admitted = report.getGood() + report.getLate() + report.getFailed();
      assertThat(admitted + report.getRefusedNotRun()).isEqualTo(report.getOffered());
      assertThat(report.getRefusedFalse()).isZero();
    }
  }

  /** Guards against a bound that is below the goodput of a policy. */
  @Test
  void noPolicyExceedsGoodputBound() {
    List<ReplayReport> reports = run(trace("th-central-storm"));
    int bound = reports.get(reports.size() - 1).getGood();
    assertThat(reports).allMatch(report -> report.getGood() <= bound);
  }

  /** Guards against an error message that does not locate the malformed line of a long trace. */
  @Test
  void malformedLineIsReportedWithFileAndNumber() {
    Optional<Failure> failure =
        ReplayJson.parseTrace("x", "x.jsonl", List.of("{\"at_ms\":0,\"even\":\"log_back\"}"))
            .failure();
    assertThat(failure.orElseThrow().message()).contains("Line 1 of \"x.jsonl\"");
  }

  /** Guards against an HTML report that lacks its table or plots although no error occurred. */
  @Test
  void htmlReportHasTableAndPlots(@TempDir Path directory) throws IOException {
    List<ReplayReport> reports =
        Replay.of(trace("luzon-calm")).policy("product").run().value().orElseThrow();
    Path page = Replay.writeHtmlReport(reports, directory).value().orElseThrow();
    assertThat(Files.readString(page)).contains("<table>").contains("goodput.png");
    assertThat(directory.resolve("roles-product.png")).isNotEmptyFile();
    assertThat(directory.resolve("teams-product.png")).isNotEmptyFile();
    assertThat(directory.resolve("cost.png")).isNotEmptyFile();
  }

  private static Trace trace(String name) {
    return Replay.readTrace(TRACES.resolve(name + ".jsonl")).value().orElseThrow();
  }

  private static List<ReplayReport> run(Trace trace) {
    return Replay.of(trace).run().value().orElseThrow();
  }
}
