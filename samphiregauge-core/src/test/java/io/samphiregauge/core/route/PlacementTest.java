package io.samphiregauge.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.engine.EngineProfile;
import io.samphiregauge.core.engine.EngineRegistry;
import io.samphiregauge.core.engine.EngineReport;
import io.samphiregauge.core.engine.EngineView;
import io.samphiregauge.core.engine.PrefixIndex;
import io.samphiregauge.schema.order.EngineRole;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class PlacementTest {
  private static final PlacementPolicy PREDICTED =
      PlacementPolicies.named(PlacementPolicies.PREDICTED).orElseThrow();
  private static final int KV_TOKENS = 160_000;

  private final RandomSource random = new SplittableRandom(3)::nextLong;

  /** Guards against a prefill on an engine without the prefix although another engine caches it. */
  @Test
  void prefersTheEngineThatHoldsThePrefix() {
    EngineRegistry registry = registry(8, true);
    registry.applyCacheEvent(new PrefixIndex.CacheEvent("e-5", 1, "p", true));
    Placement placement = place(registry, request(4_000, 100, 1), "p", 3_500);
    assertThat(placement.engine().name()).isEqualTo("e-5");
  }

  /** Guards against full confidence in prefixes that were stored before lost cache events. */
  @Test
  void gapHalvesTheConfidence() {
    PrefixIndex index = new PrefixIndex(10);
    index.apply(new PrefixIndex.CacheEvent("e", 1, "p", true));
    assertThat(index.confidence("e", "p")).isEqualTo(1);
    index.apply(new PrefixIndex.CacheEvent("e", 5, "q", true));
    assertThat(index.confidence("e", "p")).isEqualTo(0.5);
    index.apply(new PrefixIndex.CacheEvent("e", 4, "q", false));
    assertThat(index.confidence("e", "q")).isEqualTo(1);
  }

  /** Guards against a long prefill that slows down all sequences of a busy mixed engine. */
  @Test
  void splitsALongPromptFromBusyDecoders() {
    EngineRegistry registry = registry(2, true);
    registry.add(profile("p-0"), EngineRole.PREFILL, KV_TOKENS, 0);
    for (int i = 0; i < 2; i++) {
      registry.applyReport(new EngineReport("e-" + i, 1, EngineRole.MIXED, true, 0, 20, KV_TOKENS));
    }
    Placement placement = place(registry, request(6_000, 200, 1), "x", 0);
    assertThat(placement.reason()).isEqualTo("split");
    assertThat(placement.engine().name()).isEqualTo("p-0");
    assertThat(placement.decoder()).isPresent();
  }

  /** Guards against an entry that sends all requests between two reports to the same engine. */
  @Test
  void correctionSpreadsRequestsOfOneEntry() {
    assertThat(maxToMeanRequests(1, 16, 64, true)).isLessThanOrEqualTo(2);
    assertThat(maxToMeanRequests(1, 16, 64, false)).isGreaterThan(8);
  }

  /** Guards against herding: many entries choose the engine that the same report shows as idle. */
  @Test
  void entriesDoNotHerdOnTheSameReport() {
    assertThat(maxToMeanRequests(560, 310, 4, true)).isLessThanOrEqualTo(3);
    assertThat(maxToMeanRequests(560, 16, 4, true)).isLessThanOrEqualTo(3);
  }

  /** Guards against a decision time that grows with the fleet. */
  @Test
  void considersAtMostSixteenDifferentEngines() {
    EngineRegistry registry = registry(310, true);
    registry.applyCacheEvent(new PrefixIndex.CacheEvent("e-300", 1, "p", true));
    List<EngineView> candidates = registry.candidates("p", 100, random);
    assertThat(candidates).hasSize(EngineRegistry.MAX_CANDIDATES);
    assertThat(candidates.stream().map(EngineView::name).distinct()).hasSize(16);
    assertThat(candidates.get(0).name()).isEqualTo("e-300");
  }

  /**
   * Places requests of several entries, alternately, that all have the same stale reports; returns
   * the maximum over the mean number of requests per engine.
   */
  private double maxToMeanRequests(int entries, int engines, int requests, boolean corrected) {
    Map<String, Integer> sent = new HashMap<>();
    List<EngineRegistry> registries = new ArrayList<>();
    for (int i = 0; i < entries; i++) {
      EngineRegistry registry = registry(engines, corrected);
      for (int e = 1; e < engines; e++) {
        registry.applyReport(
            new EngineReport("e-" + e, 1, EngineRole.MIXED, true, 200, 2, KV_TOKENS));
      }
      registries.add(registry);
    }
    for (int i = 0; i < requests; i++) {
      for (EngineRegistry registry : registries) {
        Placement placement = place(registry, request(400, 100, entries), "x", 0);
        sent.merge(placement.engine().name(), 1, Integer::sum);
        registry.recordSent(placement.engine().name(), 400, 500, 2);
        placement.decoder().ifPresent(d -> registry.recordSent(d.name(), 0, 500, 2));
      }
    }
    int largest = sent.values().stream().mapToInt(n -> n).max().orElseThrow();
    return largest / ((double) entries * requests / engines);
  }

  private Placement place(
      EngineRegistry registry, PlacementRequest request, String prefix, int tokens) {
    return PREDICTED
        .place(request, registry.candidates(prefix, tokens, random), random)
        .orElseThrow();
  }

  private static PlacementRequest request(int prompt, int output, int entries) {
    return new PlacementRequest(prompt, output, "d-0", false, entries);
  }

  private static EngineRegistry registry(int engines, boolean corrected) {
    EngineRegistry registry = new EngineRegistry(new PrefixIndex(100), corrected);
    for (int i = 0; i < engines; i++) {
      registry.add(profile("e-" + i), EngineRole.MIXED, KV_TOKENS, 0);
    }
    return registry;
  }

  private static EngineProfile profile(String name) {
    return new EngineProfile(name, "d-0", false, 8_000, 18, 0.3, 48, 256, 2_048);
  }
}
