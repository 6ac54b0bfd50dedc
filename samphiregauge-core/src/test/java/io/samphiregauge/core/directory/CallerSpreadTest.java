package io.samphiregauge.core.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.directory.CallerSpread.Entry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against entries that are overloaded while others of their failure domain are idle, and
 * against callers that find no entry or lose their connections for nothing.
 */
class CallerSpreadTest {
  private static final EntryCapacity LARGE = new EntryCapacity(1.5, 140, 682, 8_192);
  private static final EntryCapacity MIDDLE = new EntryCapacity(0.9, 17.5, 570, 10_250);
  private static final EntryCapacity SMALL = new EntryCapacity(0.27, 7, 290, 3_075);
  private static final int CALLERS = 600;

  /** The kinds of requests of the sheets, in the burst of each kind. */
  private static final RequestDemand SHORT_PROMPTS = new RequestDemand(3, 12, 100, 2);

  private static final RequestDemand LONG_PROMPTS = new RequestDemand(3, 110, 100, 2);

  /** A failure domain of the sheets: 2 large VMs, 7 of middle size and 21 small ones. */
  private static List<Entry> domain(String domain, ToDoubleFunction<String> share) {
    return Stream.of(
            entries(domain, "l", 2, LARGE),
            entries(domain, "m", 7, MIDDLE),
            entries(domain, "s", 21, SMALL))
        .flatMap(List::stream)
        .map(e -> new Entry(e.vm(), domain, e.address(), e.capacity(), share.applyAsDouble(e.vm())))
        .toList();
  }

  private static List<Entry> entries(String domain, String kind, int count, EntryCapacity size) {
    return IntStream.range(0, count)
        .mapToObj(i -> domain + "-" + kind + i)
        .map(vm -> new Entry(vm, domain, vm, Optional.of(size), 1))
        .toList();
  }

  private static String caller(int number) {
    return "10.9." + number / 250 + "." + number % 250;
  }

  /** Returns each entry's part of the callers of domain a: each picks among its addresses. */
  private static Map<String, Double> parts(List<Entry> entries, RequestDemand demand) {
    Map<String, Double> parts = new HashMap<>();
    for (int i = 0; i < CALLERS; i++) {
      List<String> addresses = CallerSpread.addressesFor(entries, "a", caller(i), demand);
      addresses.forEach(a -> parts.merge(a, 1.0 / addresses.size() / CALLERS, Double::sum));
    }
    return parts;
  }

  private static double use(Entry entry, double requestsPerS, RequestDemand demand) {
    return requestsPerS / entry.capacity().orElseThrow().requestsPerS(demand);
  }

  /** At a load of half of the domain's room, which spread evenly would be 1.5 times a small VM. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void noEntryIsFullWhileAnotherIsIdle(boolean longPrompts) {
    RequestDemand demand = longPrompts ? LONG_PROMPTS : SHORT_PROMPTS;
    List<Entry> entries = domain("a", vm -> 1);
    double room =
        entries.stream().mapToDouble(e -> e.capacity().orElseThrow().requestsPerS(demand)).sum();
    Map<String, Double> parts = parts(entries, demand);
    List<Double> uses =
        entries.stream()
            .map(e -> use(e, 0.6 * room * parts.getOrDefault(e.address(), 0.0), demand))
            .toList();
    boolean someFull = uses.stream().anyMatch(use -> use > 0.8);
    boolean someIdle = uses.stream().anyMatch(use -> use < 0.4);
    assertThat(someFull && someIdle).as("use of the entries: %s", uses).isFalse();
  }

  /** Callers keep an answer for 1 or 3 s; a third of the entries changes its share meanwhile. */
  @Test
  void entryInTroubleLosesCallersButKeepsSomeAndOthersKeepTheirs() {
    List<Entry> calm = domain("a", vm -> 1);
    List<Entry> trouble =
        domain("a", vm -> vm.endsWith("m3") || vm.endsWith("l1") ? EntryShare.MIN_SHARE : 1);
    Map<String, Double> before = parts(calm, SHORT_PROMPTS);
    Map<String, Double> after = parts(trouble, SHORT_PROMPTS);
    for (String vm : List.of("a-m3", "a-l1")) {
      assertThat(after.get(vm)).isGreaterThan(0).isLessThan(0.5 * before.get(vm));
    }
    int kept = 0;
    int held = 0;
    for (int i = 0; i < CALLERS; i++) {
      Set<String> next =
          new HashSet<>(CallerSpread.addressesFor(trouble, "a", caller(i), SHORT_PROMPTS));
      List<String> previous = CallerSpread.addressesFor(calm, "a", caller(i), SHORT_PROMPTS);
      held += previous.size();
      kept += (int) previous.stream().filter(next::contains).count();
    }
    assertThat(kept).isGreaterThan((int) (0.8 * held));
  }

  /** A burst: callers open connections at random and keep answers for 1 s, some for 3 s. */
  @Test
  void burstWithOldAnswersStaysBelowTheTarget() {
    SplittableRandom random = new SplittableRandom(7);
    List<List<String>> answers = new ArrayList<>();
    IntStream.range(0, CALLERS).forEach(i -> answers.add(List.of()));
    List<Entry> before = domain("a", vm -> 1);
    List<Entry> after = domain("a", vm -> vm.contains("-m") ? EntryShare.MIN_SHARE : 1);
    double room =
        before.stream()
            .mapToDouble(e -> e.capacity().orElseThrow().requestsPerS(SHORT_PROMPTS))
            .sum();
    Map<String, Integer> lastSecond = new HashMap<>();
    int requests = (int) (0.5 * room);
    for (int second = 0; second < 6; second++) {
      List<Entry> entries = second < 2 ? before : after;
      lastSecond.clear();
      for (int i = 0; i < CALLERS; i++) {
        if (second % (i % 5 == 0 ? 3 : 1) == 0) {
          answers.set(i, CallerSpread.addressesFor(entries, "a", caller(i), SHORT_PROMPTS));
        }
      }
      for (int i = 0; i < requests; i++) {
        List<String> addresses = answers.get(i % CALLERS);
        lastSecond.merge(addresses.get(random.nextInt(addresses.size())), 1, Integer::sum);
      }
    }
    double smallUse =
        after.stream()
            .filter(e -> e.vm().contains("-s"))
            .mapToDouble(e -> use(e, lastSecond.getOrDefault(e.address(), 0), SHORT_PROMPTS))
            .average()
            .orElseThrow();
    double middleUse =
        after.stream()
            .filter(e -> e.vm().contains("-m"))
            .mapToDouble(e -> use(e, lastSecond.getOrDefault(e.address(), 0), SHORT_PROMPTS))
            .average()
            .orElseThrow();
    assertThat(middleUse).isGreaterThan(0).isLessThan(0.5 * smallUse);
    assertThat(smallUse).isLessThan(0.8);
  }

  @Test
  void everyEntryIsListedAndEachCallerHasAChoice() {
    List<Entry> entries = domain("a", vm -> EntryShare.MIN_SHARE);
    assertThat(parts(entries, SHORT_PROMPTS)).hasSize(entries.size());
    for (int i = 0; i < CALLERS; i++) {
      assertThat(CallerSpread.addressesFor(entries, "a", caller(i), SHORT_PROMPTS))
          .doesNotHaveDuplicates()
          .hasSizeBetween(4, CallerSpread.MAX_ADDRESSES);
    }
  }

  @Test
  void aDomainShortOfEntriesBorrowsOnlyFromASoundOne() {
    List<Entry> ill = domain("a", vm -> 0.3);
    List<Entry> lent = concat(ill, domain("b", vm -> 1));
    List<Entry> allIll = concat(ill, domain("b", vm -> 0.3));
    assertThat(listed(lent, "a")).anyMatch(address -> address.startsWith("b-"));
    assertThat(listed(allIll, "a")).noneMatch(address -> address.startsWith("b-"));
    assertThat(listed(concat(domain("a", vm -> 1), domain("b", vm -> 1)), "a"))
        .noneMatch(address -> address.startsWith("b-"));
    assertThat(listed(concat(entries("a", "l", 1, LARGE), entries("b", "s", 5, SMALL)), "a"))
        .contains("a-l0")
        .anyMatch(address -> address.startsWith("b-"));
  }

  private static Set<String> listed(List<Entry> entries, String domain) {
    Set<String> listed = new HashSet<>();
    for (int i = 0; i < CALLERS; i++) {
      listed.addAll(CallerSpread.addressesFor(entries, domain, caller(i), SHORT_PROMPTS));
    }
    return listed;
  }

  private static List<Entry> concat(List<Entry> first, List<Entry> second) {
    return Stream.concat(first.stream(), second.stream()).toList();
  }

  /** Guards against a change for deployments whose entries are alike or name no capacity. */
  @Test
  void entriesThatAreAlikeAreAllListedInOrder() {
    List<Entry> alike = concat(entries("a", "m", 3, MIDDLE), entries("b", "m", 1, MIDDLE));
    assertThat(CallerSpread.addressesFor(alike, "a", "x", RequestDemand.USUAL))
        .containsExactly("a-m0", "a-m1", "a-m2");
    assertThat(CallerSpread.addressesFor(alike, "b", "x", RequestDemand.USUAL))
        .containsExactly("a-m0", "a-m1", "a-m2", "b-m0");
    List<Entry> unknown =
        concat(
            entries("a", "m", 2, MIDDLE), List.of(new Entry("o", "a", "o", Optional.empty(), 1)));
    assertThat(CallerSpread.addressesFor(unknown, "a", "x", RequestDemand.USUAL))
        .containsExactly("a-m0", "a-m1", "o");
    assertThat(CallerSpread.addressesFor(List.of(), "a", "x", RequestDemand.USUAL)).isEmpty();
  }
}
