package io.samphiregauge.core.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class EngineSubsetTest {
  private static final int ENTRIES = 560;
  private static final int ENGINES = 3_100;
  private static final int DOMAINS = 17;

  /** Guards against engines that are in too few or too many subsets. */
  @Test
  void entriesSpreadEvenlyOverEngines() {
    List<EngineProfile> engines = engines();
    Map<String, Integer> users = new HashMap<>();
    Map<String, Double> load = new HashMap<>();
    for (int entry = 0; entry < ENTRIES; entry++) {
      List<String> subset =
          EngineSubset.of("vm-" + entry, "m1", engines, EngineSubset.DEFAULT_SIZE);
      assertThat(subset).hasSize(EngineSubset.DEFAULT_SIZE).doesNotHaveDuplicates();
      subset.forEach(engine -> users.merge(engine, 1, Integer::sum));
      send(subset, load, entry);
    }
    double mean = (double) ENTRIES * EngineSubset.DEFAULT_SIZE / ENGINES;
    assertThat(users).hasSize(ENGINES);
    assertThat(users.values()).allMatch(count -> count > mean / 2 && count < 2 * mean);
    double meanLoad = load.values().stream().mapToDouble(d -> d).sum() / ENGINES;
    assertThat(load.values()).allMatch(value -> value < 1.25 * meanLoad);
  }

  /** Guards against subsets that change entirely when one engine is removed. */
  @Test
  void removingAnEngineChangesFewMembers() {
    List<EngineProfile> engines = engines();
    List<EngineProfile> fewer = new ArrayList<>(engines);
    fewer.remove(1_234);
    for (int entry = 0; entry < 20; entry++) {
      String vm = "vm-" + entry;
      Set<String> changed =
          new HashSet<>(EngineSubset.of(vm, "m1", engines, EngineSubset.DEFAULT_SIZE));
      changed.removeAll(EngineSubset.of(vm, "m1", fewer, EngineSubset.DEFAULT_SIZE));
      assertThat(changed).hasSizeLessThanOrEqualTo(2);
    }
  }

  /** Each entry sends 100 units to the less loaded of two engines, as routing does. */
  private static void send(List<String> subset, Map<String, Double> load, int entry) {
    for (int i = 0; i < 100; i++) {
      String first = subset.get(Math.floorMod((entry * 31 + i) * 7_919, subset.size()));
      String second = subset.get(Math.floorMod((entry * 17 + i) * 104_729, subset.size()));
      boolean firstLess = load.getOrDefault(first, 0.0) <= load.getOrDefault(second, 0.0);
      load.merge(firstLess ? first : second, 1.0, Double::sum);
    }
  }

  private static List<EngineProfile> engines() {
    return IntStream.range(0, ENGINES)
        .mapToObj(i -> EngineProfile.ofCapacity("e-" + i, "d-" + i % DOMAINS, false, 3_000))
        .toList();
  }
}
