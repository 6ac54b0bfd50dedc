package io.samphiregauge.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.config.BackendKind;
import io.samphiregauge.schema.entry.EntryAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against callers that are directed over the longer of two network hops. */
class DirectoryOrderTest {
  private static final int CALLERS = 4_000;
  private static final List<String> DOMAINS = List.of("a", "b", "c", "d");
  private static final List<EntryAddress> ENTRIES =
      IntStream.range(0, 8)
          .mapToObj(i -> new EntryAddress("10.0.0.%d:80".formatted(i), DOMAINS.get(i % 4)))
          .toList();
  // Three engines in failure domain b, one in c, none in the others.
  private static final List<Backend> ENGINES =
      List.of(engine("e1", "b"), engine("e2", "b"), engine("e3", "b"), engine("e4", "c"));

  @Test
  void prefersBackendDomainsWhenClientsAreCloserThanDomains() {
    Map<String, Integer> first = firstChoices(DirectoryOrder.byLatency(400, 500));
    assertThat(first).containsOnlyKeys("b", "c");
    assertThat(first.get("b")).isBetween(CALLERS * 70 / 100, CALLERS * 80 / 100);
  }

  @Test
  void spreadsCallersEvenlyWhenClientsAreFartherThanDomains() {
    Map<String, Integer> first = firstChoices(DirectoryOrder.byLatency(1_000, 500));
    assertThat(first).containsOnlyKeys("a", "b", "c", "d");
    assertThat(first.values())
        .allSatisfy(n -> assertThat(n).isBetween(CALLERS * 22 / 100, CALLERS * 28 / 100));
  }

  @Test
  void orderIsCompleteAndStableForACaller() {
    for (DirectoryOrder order :
        List.of(DirectoryOrder.uniform(), DirectoryOrder.preferBackendDomains())) {
      List<EntryAddress> ordered = order.order(ENTRIES, ENGINES, "caller");
      assertThat(ordered).containsExactlyInAnyOrderElementsOf(ENTRIES);
      assertThat(order.order(ENTRIES, ENGINES, "caller")).isEqualTo(ordered);
    }
  }

  private static Map<String, Integer> firstChoices(DirectoryOrder order) {
    Map<String, Integer> first = new HashMap<>();
    for (int i = 0; i < CALLERS; i++) {
      EntryAddress entry = order.order(ENTRIES, ENGINES, "team-" + i).get(0);
      first.merge(entry.getFailureDomain(), 1, Integer::sum);
    }
    return first;
  }

  private static Backend engine(String name, String domain) {
    return new Backend(
        name, BackendKind.ENGINE, "10.0.1.1:80", domain, List.of("m1"), false, true, 1_000);
  }
}
