package io.samphiregauge.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

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
  private static final EngineRates RATES = new EngineRates(0.0004);
  private final ServerChooser chooser = new ServerChooser("a", Sampling.all());

  private static ServerLoad server(String id, String domain, Optional<EngineStage> stage) {
    return new ServerLoad(
        new BackendServer(id, 1, "s", "v1", "10.0.0.1:80", domain, 6, false, stage, false),
        500_000,
        40);
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

  private String prefillServerId(Prompt prompt, List<ServerLoad> engines) {
    return chooser.planPrefill(prompt, engines, RATES, NOW_MS).orElseThrow().server().server().id();
  }

  /** Guards against entries that prefill the same shared part on different engines. */
  @Test
  void entriesChooseTheSameEngineForAPrompt() {
    Set<String> chosen = new HashSet<>();
    for (int part = 0; part < 50; part++) {
      Prompt prompt = prompt("part" + part, 13_000, 3_000);
      String preferred = prefillServerId(prompt, engines());
      chosen.add(preferred);
      ServerChooser otherEntry = new ServerChooser("b", Sampling.all());
      List<ServerLoad> reversed = new ArrayList<>(engines());
      Collections.reverse(reversed);
      assertThat(
              otherEntry
                  .planPrefill(prompt, reversed, RATES, NOW_MS)
                  .orElseThrow()
                  .server()
                  .server()
                  .id())
          .isEqualTo(preferred);
    }
    assertThat(chosen).containsExactlyInAnyOrder("p0", "p1", "p2");
  }

  /**
   * Guards against a prompt that waits in a long queue only because its preferred engine has it.
   */
  @Test
  void longQueueOutweighsPromptAffinity() {
    Prompt prompt = prompt("part", 13_000, 3_000);
    List<ServerLoad> engines = engines();
    String preferred = prefillServerId(prompt, engines);
    ServerLoad overloaded =
        engines.stream()
            .filter(load -> load.server().id().equals(preferred))
            .findFirst()
            .orElseThrow();
    overloaded.setOtherEntriesLoad(40, 200_000);
    assertThat(prefillServerId(prompt, engines)).isNotEqualTo(preferred);
  }

  /** Guards against a short queue that moves a prompt away from its preferred engine. */
  @Test
  void shortQueueDoesNotOutweighPromptAffinity() {
    Prompt prompt = prompt("part", 13_000, 3_000);
    List<ServerLoad> engines = engines();
    String preferred = prefillServerId(prompt, engines);
    engines.stream()
        .filter(load -> load.server().id().equals(preferred))
        .forEach(load -> load.setOtherEntriesLoad(1, 3_000));
    assertThat(prefillServerId(prompt, engines)).isEqualTo(preferred);
  }

  /** Guards against shared parts that are prefilled again although another engine caches them. */
  @Test
  void fetchesSharedPartsThatAnotherEngineCaches() {
    Prompt prompt = prompt("part", 13_000, 3_000);
    List<ServerLoad> engines = engines();
    ServerLoad holder = engines.get(0);
    holder.prefixCache().recordPrefilled(prompt.sharedParts());
    holder.setOtherEntriesLoad(40, 200_000);
    ServerChooser.PromptPlan plan =
        chooser.planPrefill(prompt, engines, RATES, NOW_MS).orElseThrow();
    assertThat(plan.server()).isNotEqualTo(holder);
    assertThat(plan.cacheSource()).contains(holder);
    assertThat(plan.uncachedTokens()).isEqualTo(3_000);
  }

  /**
   * Guards against unnecessary KV cache transfers across failure domains, which take twice as long.
   */
  @Test
  void fetchesFromTheSameDomainWhenPossible() {
    Prompt prompt = prompt("part", 13_000, 3_000);
    ServerLoad remote = server("far", "b", Optional.of(EngineStage.PREFILL));
    ServerLoad local = server("near", "a", Optional.of(EngineStage.PREFILL));
    ServerLoad idle = server("idle", "a", Optional.of(EngineStage.DECODE));
    List.of(remote, local)
        .forEach(load -> load.prefixCache().recordPrefilled(prompt.sharedParts()));
    List.of(remote, local).forEach(load -> load.setOtherEntriesLoad(40, 200_000));
    ServerChooser.PromptPlan plan =
        chooser.planPrefill(prompt, List.of(remote, local, idle), RATES, NOW_MS).orElseThrow();
    assertThat(plan.server()).isEqualTo(idle);
    assertThat(plan.cacheSource()).contains(local);
  }

  /** Guards against a fetch from an unreachable engine, which delays the request by a timeout. */
  @Test
  void doesNotFetchFromAnAvoidedEngine() {
    Prompt prompt = prompt("part", 13_000, 3_000);
    ServerLoad unreachable = server("dead", "a", Optional.of(EngineStage.PREFILL));
    ServerLoad idle = server("idle", "a", Optional.of(EngineStage.DECODE));
    unreachable.prefixCache().recordPrefilled(prompt.sharedParts());
    unreachable.recordConnectFailure(NOW_MS);
    ServerChooser.PromptPlan plan =
        chooser.planPrefill(prompt, List.of(unreachable, idle), RATES, NOW_MS).orElseThrow();
    assertThat(plan.cacheSource()).isEmpty();
    assertThat(plan.uncachedTokens()).isEqualTo(16_000);
  }

  /** Guards against a fetch that takes longer than the prefill of a short prefix. */
  @Test
  void doesNotFetchShortSharedParts() {
    Prompt prompt = prompt("part", 100, 300);
    List<ServerLoad> engines = engines();
    engines.get(0).prefixCache().recordPrefilled(prompt.sharedParts());
    engines.get(0).setOtherEntriesLoad(40, 200_000);
    assertThat(chooser.planPrefill(prompt, engines, RATES, NOW_MS).orElseThrow().cacheSource())
        .isEmpty();
  }

  /** Guards against a prefill when no engine can decode. */
  @Test
  void returnsEmptyWithoutADecodeEngine() {
    List<ServerLoad> engines = List.of(server("p", "a", Optional.of(EngineStage.PREFILL)));
    assertThat(chooser.planPrefill(prompt("part", 100, 10), engines, RATES, NOW_MS)).isEmpty();
    BackendServer source = engines.get(0).server();
    assertThat(chooser.chooseDecodeEngine(prompt("part", 100, 10), engines, source, RATES, NOW_MS))
        .isEmpty();
  }

  /** Guards against requests to a server right after a failed connection attempt. */
  @Test
  void avoidsAnUnreachableServer() {
    ServerLoad unreachable = server("x", "a", Optional.empty());
    ServerLoad remote = server("y", "b", Optional.empty());
    unreachable.recordConnectFailure(NOW_MS);
    assertThat(chooser.chooseServer(List.of(unreachable, remote), NOW_MS)).contains(remote);
    assertThat(chooser.chooseServer(List.of(unreachable), NOW_MS)).contains(unreachable);
  }

  /** Guards against a hanging server that receives more requests than servers that respond. */
  @Test
  void prefersTheServerWithFewerRequests() {
    ServerLoad busy = server("x", "a", Optional.empty());
    ServerLoad idle = server("y", "b", Optional.empty());
    busy.recordSent(0);
    assertThat(chooser.chooseServer(List.of(busy, idle), NOW_MS)).contains(idle);
  }

  /**
   * Guards against entries that all send to the server that was least loaded at the last load
   * exchange.
   */
  @Test
  void randomSamplingSpreadsRequestsUnderStaleLoads() {
    List<ServerLoad> servers = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      servers.add(server("s" + i, i % 4 == 0 ? "a" : "b", Optional.empty()));
      servers.get(i).setOtherEntriesLoad(i, 0);
    }
    SplittableRandom seeded = new SplittableRandom(3);
    ServerChooser sampledChooser =
        new ServerChooser("a", Sampling.randomSubset("a", seeded::nextLong));
    Map<ServerLoad, Integer> chosen = new HashMap<>();
    for (int i = 0; i < 1_000; i++) {
      chosen.merge(sampledChooser.chooseServer(servers, NOW_MS).orElseThrow(), 1, Integer::sum);
    }
    assertThat(chosen.values()).allMatch(count -> count < 500);
    assertThat(chosen.getOrDefault(servers.get(0), 0)).isGreaterThan(1_000 / servers.size());
  }

  /** Guards against a comparison of only one server if the entry's failure domain has none. */
  @Test
  void samplesSeveralRemoteServersWhenNoneIsLocal() {
    List<ServerLoad> servers = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      servers.add(server("s" + i, "b", Optional.empty()));
    }
    SplittableRandom seeded = new SplittableRandom(5);
    assertThat(Sampling.randomSubset("a", seeded::nextLong).candidates(servers, NOW_MS)).hasSize(3);
  }

  /** Guards against a request to a failing server because the sample contains no healthy one. */
  @Test
  void samplesOnlyHealthyServers() {
    List<ServerLoad> servers = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      servers.add(server("s" + i, "a", Optional.empty()));
      servers.get(i).recordConnectFailure(NOW_MS);
    }
    ServerLoad healthy = server("healthy", "b", Optional.empty());
    servers.add(healthy);
    SplittableRandom seeded = new SplittableRandom(4);
    assertThat(Sampling.randomSubset("a", seeded::nextLong).candidates(servers, NOW_MS))
        .containsExactly(healthy);
  }

  /** Guards against a cache model that grows beyond the capacity of the engine. */
  @Test
  void prefixCacheModelEvictsTheLeastRecentlyUsed() {
    PrefixCacheModel cache = new PrefixCacheModel(10_000);
    cache.recordPrefilled(prompt("old", 5_000, 10).parts());
    cache.recordPrefilled(prompt("new", 5_000, 10).parts());
    assertThat(cache.cachedTokens(prompt("old", 5_000, 10))).isZero();
    assertThat(cache.cachedTokens(prompt("new", 5_000, 20))).isEqualTo(5_020);
  }
}
