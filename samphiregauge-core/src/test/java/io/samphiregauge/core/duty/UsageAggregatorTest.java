package io.samphiregauge.core.duty;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.schema.gateway.SealedUsage;
import io.samphiregauge.schema.gateway.UsageRecord;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class UsageAggregatorTest {
  private static final long NEWEST_WINDOW = 12;

  private static UsageRecord recordOf(
      String vm, long startMs, long window, Map<String, Long> teams) {
    return new UsageRecord(vm, startMs, List.of(new SealedUsage(window, teams)));
  }

  /** Guards against requests that are charged twice because of a duplicate or delayed record. */
  @Test
  void ignoresRepeatedAndOlderRecords() {
    UsageAggregator aggregator = new UsageAggregator();
    aggregator.merge(recordOf("a", 1, 7, Map.of("x", 3L)), NEWEST_WINDOW);
    aggregator.merge(recordOf("a", 1, 7, Map.of("x", 5L)), NEWEST_WINDOW);
    aggregator.merge(recordOf("a", 1, 7, Map.of("x", 5L)), NEWEST_WINDOW);
    aggregator.merge(recordOf("a", 1, 7, Map.of("x", 3L)), NEWEST_WINDOW);
    assertThat(aggregator.total(7).getCounts()).containsExactly(Map.entry("x", 5L));
  }

  /** Guards against a record of far later windows that drops the counts of the present ones. */
  @Test
  void ignoresWindowsThatLieFarAhead() {
    UsageAggregator aggregator = new UsageAggregator();
    aggregator.merge(recordOf("a", 1, 7, Map.of("x", 5L)), NEWEST_WINDOW);
    for (long window = Long.MAX_VALUE - 20; window < Long.MAX_VALUE; window++) {
      aggregator.merge(recordOf("b", 1, window, Map.of("x", 1L)), NEWEST_WINDOW);
    }
    assertThat(aggregator.total(7).getCounts()).containsExactly(Map.entry("x", 5L));
  }

  /** Guards against a count that is missing or negative. */
  @Test
  void ignoresCountsThatAreMissingOrNegative() {
    UsageAggregator aggregator = new UsageAggregator();
    Map<String, Long> counts = new HashMap<>();
    counts.put("x", null);
    counts.put("y", -3L);
    counts.put("z", 2L);
    aggregator.merge(recordOf("a", 1, 7, counts), NEWEST_WINDOW);
    assertThat(aggregator.total(7).getCounts()).containsExactly(Map.entry("z", 2L));
  }

  /** Guards against counts of a restarted process that replace those of its predecessor. */
  @Test
  void addsTheCountsOfAllProcesses() {
    UsageAggregator aggregator = new UsageAggregator();
    aggregator.merge(recordOf("a", 1, 7, Map.of("x", 5L)), NEWEST_WINDOW);
    aggregator.merge(recordOf("a", 2, 7, Map.of("x", 2L, "y", 1L)), NEWEST_WINDOW);
    aggregator.merge(recordOf("b", 1, 7, Map.of("y", 4L)), NEWEST_WINDOW);
    assertThat(aggregator.total(7).getCounts())
        .containsOnly(Map.entry("x", 7L), Map.entry("y", 5L));
  }

  /** Guards against a window that is reported while an entry cannot reach the store. */
  @Test
  void windowIsCompleteOnceAllProcessesHaveCountedLater() {
    UsageAggregator aggregator = new UsageAggregator();
    aggregator.merge(recordOf("a", 1, 6, Map.of("x", 5L)), NEWEST_WINDOW);
    aggregator.merge(recordOf("b", 1, 6, Map.of("x", 5L)), NEWEST_WINDOW);
    aggregator.merge(recordOf("a", 1, 7, Map.of("x", 5L)), NEWEST_WINDOW);
    aggregator.merge(recordOf("a", 1, 8, Map.of("x", 5L)), NEWEST_WINDOW);
    assertThat(aggregator.isComplete(7)).isFalse();
    aggregator.merge(recordOf("b", 1, 8, Map.of("x", 1L)), NEWEST_WINDOW);
    assertThat(aggregator.isComplete(7)).isTrue();
    assertThat(aggregator.isComplete(8)).isFalse();
  }

  /** Guards against a report that is late because it waits for the counts of a killed process. */
  @Test
  void windowDoesNotWaitForAProcessThatWasReplaced() {
    UsageAggregator aggregator = new UsageAggregator();
    aggregator.merge(recordOf("a", 1, 7, Map.of("x", 5L)), NEWEST_WINDOW);
    aggregator.merge(recordOf("b", 1, 7, Map.of("x", 5L)), NEWEST_WINDOW);
    aggregator.merge(recordOf("b", 1, 8, Map.of("x", 5L)), NEWEST_WINDOW);
    assertThat(aggregator.isComplete(7)).isFalse();
    aggregator.merge(recordOf("a", 2, 8, Map.of("x", 1L)), NEWEST_WINDOW);
    assertThat(aggregator.isComplete(7)).isTrue();
  }

  /** Guards against memory usage that grows with each window. */
  @Test
  void keepsOnlyTheNewestWindows() {
    UsageAggregator aggregator = new UsageAggregator();
    for (long window = 0; window < 100; window++) {
      aggregator.count(new UsageAggregator.ProcessKey("a", 1), window, "x");
    }
    assertThat(aggregator.recentWindows(new UsageAggregator.ProcessKey("a", 1)))
        .extracting(SealedUsage::getWindow)
        .containsExactly(97L, 98L, 99L);
    assertThat(aggregator.total(3).getCounts()).isEmpty();
  }
}
