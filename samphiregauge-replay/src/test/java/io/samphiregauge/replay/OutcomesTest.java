package io.samphiregauge.replay;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiregauge.schema.replay.ReplayReport;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Checks the measured outcomes of the policies against their limits, on full traces of seed 1. */
class OutcomesTest {
  private static final Path OUTCOMES = Path.of("src/test/resources/outcomes.json");
  private static final Path KNOWN_RED = Path.of("../KNOWN-RED.txt");
  private static final String KNOWN_PREFIX = "outcome ";
  private static final long SEED = 1;

  private final Map<String, ReplayReport> reports = new HashMap<>();
  private final Map<String, ToDoubleFunction<String>> measures =
      Map.of(
          "goodput_over_static",
              trace -> report(trace, "product").getGoodput() / report(trace, "static").getGoodput(),
          "goodput_over_bound",
              trace ->
                  report(trace, "product").getGoodput() / report(trace, Replay.BOUND).getGoodput(),
          "role_changes_over_reactive",
              trace ->
                  (double) report(trace, "product").getRoleChanges()
                      / report(trace, "reactive").getRoleChanges(),
          "worst_team_share", trace -> report(trace, "product").getWorstTeamShare(),
          "cost_over_bound",
              trace ->
                  (double) report(trace, "product").getCostPer1000GoodMicros()
                      / report(trace, Replay.BOUND).getCostPer1000GoodMicros(),
          "harmed_by_reclaim", trace -> report(trace, "product").getHarmedByReclaim(),
          "refused_false", trace -> report(trace, "product").getRefusedFalse(),
          "engine_crashes", trace -> report(trace, "product").getEngineCrashes());

  /**
   * Guards against policies that miss the limit of an outcome. The outcomes that miss their limit
   * must be exactly those in KNOWN-RED.txt, so an outcome that meets it again must be removed
   * there.
   */
  @Test
  void missedOutcomesAreExactlyTheKnownRedOnes() throws IOException {
    Set<String> knownRed =
        Files.readAllLines(KNOWN_RED).stream()
            .filter(line -> line.startsWith(KNOWN_PREFIX))
            .map(line -> line.substring(KNOWN_PREFIX.length()).split(":", 2)[0])
            .collect(Collectors.toSet());
    List<String> missed = new ArrayList<>();
    for (JsonNode outcome : ReplayJson.MAPPER.readTree(Files.readString(OUTCOMES))) {
      String name = outcome.get("trace").asText() + " " + outcome.get("measure").asText();
      double value =
          measures
              .get(outcome.get("measure").asText())
              .applyAsDouble(outcome.get("trace").asText());
      System.out.printf("outcome %s: %.3f, bound %s%n", name, value, outcome);
      if (!meetsLimit(outcome, value)) {
        missed.add(name);
      }
    }
    assertThat(missed).containsExactlyInAnyOrderElementsOf(knownRed);
  }

  private static boolean meetsLimit(JsonNode outcome, double value) {
    return outcome.has("atLeast")
        ? value >= outcome.get("atLeast").asDouble()
        : value <= outcome.get("atMost").asDouble();
  }

  private ReplayReport report(String trace, String policy) {
    return reports.computeIfAbsent(
        trace + " " + policy,
        key -> {
          int separator = trace.lastIndexOf('-');
          return Replay.generateTrace(
                  trace.substring(0, separator), trace.substring(separator + 1), SEED, 1)
              .flatMap(generated -> Replay.of(generated).policy(policy).run())
              .value()
              .orElseThrow()
              .get(0);
        });
  }
}
