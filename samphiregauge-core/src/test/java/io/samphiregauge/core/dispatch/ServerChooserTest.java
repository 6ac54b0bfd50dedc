package io.samphiregauge.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.admit.RetryBudget;
import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.backend.EngineStage;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ServerChooserTest {
  private static final long NOW_MS = 1_000;
  private final ServerChooser chooser = new ServerChooser("a", Sampling.all());

  private static ServerLoad server(String id, String domain, Optional<EngineStage> stage) {
    return new ServerLoad(
        new BackendServer(id, 1, "s", "10.0.0.1:80", domain, 6, false, stage, false), 500_000, 40);
  }

  private static List<ServerLoad> engines() {
    List<ServerLoad> engines = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      engines.add(server("p" + i, "a", Optional.of(EngineStage.PREFILL)));
      engines.add(server("d" + i, "a", Optional.of(EngineStage.DECODE)));
    }
    return engines;
  }

  private static Prompt prompt(String shared, int sharedTokens, int ownTokens) {
    return new Prompt(
        sharedTokens + ownTokens,
        20,
        List.of(new PromptPart(shared, sharedTokens), new PromptPart("own", ownTokens)));
  }

  private String choice(Prompt prompt, List<ServerLoad> engines) {
    return chooser.prefill(prompt, engines, NOW_MS).orElseThrow().server().server().id();
  }

  /** Guards against shared parts that each entry has prefilled at an engine of its own. */
  @Test
  void entriesAgreeOnTheEngineOfAPrompt() {
    Set<String> chosen = new HashSet<>();
    for (int part = 0; part < 50; part++) {
      Prompt prompt = prompt("part" + part, 13_000, 3_000);
      String here = choice(prompt, engines());
      chosen.add(here);
      ServerChooser elsewhere = new ServerChooser("b", Sampling.all());
      List<ServerLoad> reversed = new ArrayList<>(engines());
      Collections.reverse(reversed);
      assertThat(elsewhere.prefill(prompt, reversed, NOW_MS).orElseThrow().server().server().id())
          .isEqualTo(here);
    }
    assertThat(chosen).containsExactlyInAnyOrder("p0", "p1", "p2");
  }

  /** Guards against a prompt that waits behind a long queue only because it is cached there. */
  @Test
  void longQueueOutweighsTheCache() {
    Prompt prompt = prompt("part", 13_000, 3_000);
    List<ServerLoad> engines = engines();
    String home = choice(prompt, engines);
    ServerLoad full =
        engines.stream().filter(load -> load.server().id().equals(home)).findFirst().orElseThrow();
    full.others(40, 200_000);
    assertThat(choice(prompt, engines)).isNotEqualTo(home);
  }

  /** Guards against a short queue that drives a prompt away from the engine that caches it. */
  @Test
  void shortQueueDoesNotOutweighTheCache() {
    Prompt prompt = prompt("part", 13_000, 3_000);
    List<ServerLoad> engines = engines();
    String home = choice(prompt, engines);
    engines.stream()
        .filter(load -> load.server().id().equals(home))
        .forEach(load -> load.others(1, 3_000));
    assertThat(choice(prompt, engines)).isEqualTo(home);
  }

  /** Guards against shared parts that are read again although another engine caches them. */
  @Test
  void fetchesSharedPartsThatAnotherEngineCaches() {
    Prompt prompt = prompt("part", 13_000, 3_000);
    List<ServerLoad> engines = engines();
    ServerLoad holder = engines.get(0);
    holder.prefixes().add(prompt.sharedParts());
    holder.others(40, 200_000);
    ServerChooser.PromptPlan plan = chooser.prefill(prompt, engines, NOW_MS).orElseThrow();
    assertThat(plan.server()).isNotEqualTo(holder);
    assertThat(plan.cacheSource()).contains(holder);
    assertThat(plan.uncachedTokens()).isEqualTo(3_000);
  }

  /**
   * Guards against KV cache that crosses failure domains without need, which takes twice as long.
   */
  @Test
  void fetchesFromTheSameDomainIfItCan() {
    Prompt prompt = prompt("part", 13_000, 3_000);
    ServerLoad far = server("far", "b", Optional.of(EngineStage.PREFILL));
    ServerLoad near = server("near", "a", Optional.of(EngineStage.PREFILL));
    ServerLoad idle = server("idle", "a", Optional.of(EngineStage.DECODE));
    List.of(far, near).forEach(load -> load.prefixes().add(prompt.sharedParts()));
    List.of(far, near).forEach(load -> load.others(40, 200_000));
    ServerChooser.PromptPlan plan =
        chooser.prefill(prompt, List.of(far, near, idle), NOW_MS).orElseThrow();
    assertThat(plan.server()).isEqualTo(idle);
    assertThat(plan.cacheSource()).contains(near);
  }

  /** Guards against a fetch from an engine that is dead, which costs the time to notice. */
  @Test
  void fetchesFromNoEngineThatIsAvoided() {
    Prompt prompt = prompt("part", 13_000, 3_000);
    ServerLoad dead = server("dead", "a", Optional.of(EngineStage.PREFILL));
    ServerLoad idle = server("idle", "a", Optional.of(EngineStage.DECODE));
    dead.prefixes().add(prompt.sharedParts());
    dead.unreachable(NOW_MS);
    ServerChooser.PromptPlan plan =
        chooser.prefill(prompt, List.of(dead, idle), NOW_MS).orElseThrow();
    assertThat(plan.cacheSource()).isEmpty();
    assertThat(plan.uncachedTokens()).isEqualTo(16_000);
  }

  /** Guards against a transfer that takes longer than reading a short beginning. */
  @Test
  void readsShortSharedPartsAgain() {
    Prompt prompt = prompt("part", 100, 300);
    List<ServerLoad> engines = engines();
    engines.get(0).prefixes().add(prompt.sharedParts());
    engines.get(0).others(40, 200_000);
    assertThat(chooser.prefill(prompt, engines, NOW_MS).orElseThrow().cacheSource()).isEmpty();
  }

  /** Guards against a prompt that is prefilled although no engine can generate. */
  @Test
  void nothingIsPrefilledWithoutAnEngineThatGenerates() {
    List<ServerLoad> engines = List.of(server("p", "a", Optional.of(EngineStage.PREFILL)));
    assertThat(chooser.prefill(prompt("part", 100, 10), engines, NOW_MS)).isEmpty();
    assertThat(chooser.decode(engines, "a", NOW_MS)).isEmpty();
  }

  /** Guards against a server that was just found dead and keeps getting requests. */
  @Test
  void avoidsAServerThatCannotBeReached() {
    ServerLoad dead = server("x", "a", Optional.empty());
    ServerLoad far = server("y", "b", Optional.empty());
    dead.unreachable(NOW_MS);
    assertThat(chooser.plain(List.of(dead, far), NOW_MS)).contains(far);
    assertThat(chooser.plain(List.of(dead), NOW_MS)).contains(dead);
  }

  /** Guards against a server that hangs and gets more requests than those that answer. */
  @Test
  void prefersTheServerWithFewerRequests() {
    ServerLoad busy = server("x", "a", Optional.empty());
    ServerLoad idle = server("y", "b", Optional.empty());
    busy.sent(0);
    assertThat(chooser.plain(List.of(busy, idle), NOW_MS)).contains(idle);
  }

  /**
   * Guards against entries that all send to the server that was least loaded when the loads were
   * last exchanged.
   */
  @Test
  void entriesWithOldLoadsSpreadOverTheServers() {
    List<ServerLoad> servers = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      servers.add(server("s" + i, i % 4 == 0 ? "a" : "b", Optional.empty()));
      servers.get(i).others(i, 0);
    }
    SplittableRandom seeded = new SplittableRandom(3);
    ServerChooser entry = new ServerChooser("a", Sampling.few("a", seeded::nextLong));
    Map<ServerLoad, Integer> chosen = new HashMap<>();
    for (int i = 0; i < 1_000; i++) {
      chosen.merge(entry.plain(servers, NOW_MS).orElseThrow(), 1, Integer::sum);
    }
    assertThat(chosen.values()).allMatch(count -> count < 500);
    assertThat(chosen.getOrDefault(servers.get(0), 0)).isGreaterThan(1_000 / servers.size());
  }

  /** Guards against a blind choice where the entry's failure domain has no server. */
  @Test
  void comparesSeveralFarServersWhereNoneIsNear() {
    List<ServerLoad> servers = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      servers.add(server("s" + i, "b", Optional.empty()));
    }
    SplittableRandom seeded = new SplittableRandom(5);
    assertThat(Sampling.few("a", seeded::nextLong).candidates(servers, NOW_MS)).hasSize(3);
  }

  /** Guards against a request for a failing server, only because few servers are compared. */
  @Test
  void comparesHealthyServersOnly() {
    List<ServerLoad> servers = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      servers.add(server("s" + i, "a", Optional.empty()));
      servers.get(i).unreachable(NOW_MS);
    }
    ServerLoad healthy = server("healthy", "b", Optional.empty());
    servers.add(healthy);
    SplittableRandom seeded = new SplittableRandom(4);
    assertThat(Sampling.few("a", seeded::nextLong).candidates(servers, NOW_MS))
        .containsExactly(healthy);
  }

  /** Guards against a memory model that never forgets. */
  @Test
  void prefixMemoryEvictsTheLeastRecentlyUsed() {
    PrefixMemory memory = new PrefixMemory(10_000);
    memory.add(prompt("old", 5_000, 10).parts());
    memory.add(prompt("new", 5_000, 10).parts());
    assertThat(memory.cachedTokens(prompt("old", 5_000, 10))).isZero();
    assertThat(memory.cachedTokens(prompt("new", 5_000, 20))).isEqualTo(5_020);
  }

  /** Guards against repeats beyond the share that all entries may send together. */
  @Test
  void repeatBudgetStaysWithinItsShare() {
    RetryBudget budget = RetryBudget.partOf(0.2, 54);
    int repeats = 0;
    for (int i = 0; i < 1_000; i++) {
      budget.request();
      while (budget.tryRetry()) {
        repeats++;
      }
    }
    assertThat(repeats).isLessThanOrEqualTo(200 + 54 / 7).isGreaterThan(50);
  }
}
