package io.samphiregauge.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.backend.EngineStage;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** What requests and KV cache cost between failure domains, in the choice of a server. */
class CrossingCostTest {
  private static final long NOW_MS = 1_000;
  private static final EngineRates RATES = new EngineRates(0.001);
  private static final Prompt PROMPT =
      new Prompt(
          17_000, 9, List.of(new PromptPart("shared", 13_300), new PromptPart("own", 3_700)));

  private static ServerLoad engine(String id, EngineStage stage, boolean reclaimable) {
    return new ServerLoad(
        new BackendServer(
            id,
            1,
            "s",
            "v1",
            "10.0.0.1:80",
            id.substring(0, 1),
            16,
            false,
            Optional.of(stage),
            reclaimable),
        500_000,
        40);
  }

  /** A request costs 90 ms in another domain; a token of KV cache costs what is given. */
  private static ServerChooser chooser(double kvMsPerToken) {
    Crossing crossing =
        new Crossing(
            servers -> servers, domain -> 90, tokens -> tokens * kvMsPerToken, load -> {}, true);
    return new ServerChooser("a", Sampling.all(), crossing);
  }

  /** Guards against long prompts that leave for a wait that is cheaper than their bytes. */
  @Test
  void longPromptWaitsWhereThatIsCheaper() {
    ServerLoad near = engine("a1", EngineStage.PREFILL, false);
    ServerLoad far = engine("b1", EngineStage.PREFILL, false);
    List<ServerLoad> engines = List.of(near, far, engine("a2", EngineStage.DECODE, false));
    near.prefixCache().recordPrefilled(PROMPT.parts());
    far.prefixCache().recordPrefilled(PROMPT.parts());
    near.setOtherEntriesLoad(1, 1_500);
    assertThat(prefillServer(chooser(0.01), engines)).isEqualTo(near);
    assertThat(prefillServer(new ServerChooser("a", Sampling.all()), engines)).isEqualTo(far);
    near.setOtherEntriesLoad(4, 6_000);
    assertThat(prefillServer(chooser(0.01), engines)).isEqualTo(far);
  }

  /** Guards against a refusal in a full domain while another one has room, but gets no flow. */
  @Test
  void everyDomainIsComparedBeforeARefusal() {
    ServerLoad near = engine("a1", EngineStage.DECODE, false);
    ServerLoad far = engine("b1", EngineStage.DECODE, false);
    near.setOtherEntriesLoad(16, 900_000);
    Crossing ownDomain =
        new Crossing(
            servers -> servers.stream().filter(load -> load.server().domain().equals("a")).toList(),
            domain -> 90,
            tokens -> tokens * 0.01,
            load -> {},
            true);
    ServerChooser chooser = new ServerChooser("a", Sampling.all(), ownDomain);
    List<ServerLoad> engines = List.of(near, far);
    assertThat(prefillServer(chooser, engines)).isEqualTo(near);
    assertThat(prefillServer(chooser.acrossDomains(), engines)).isEqualTo(far);
  }

  private static ServerLoad prefillServer(ServerChooser chooser, List<ServerLoad> engines) {
    return chooser.planPrefill(PROMPT, engines, RATES, NOW_MS).orElseThrow().server();
  }

  /** Guards against a fetch from another domain whose bytes cost more than computing again. */
  @Test
  void prefixIsComputedWhereAFetchCostsMore() {
    ServerLoad near = engine("a1", EngineStage.PREFILL, false);
    ServerLoad far = engine("b1", EngineStage.PREFILL, false);
    far.prefixCache().recordPrefilled(PROMPT.parts());
    far.setOtherEntriesLoad(16, 200_000);
    List<ServerLoad> engines = List.of(near, far, engine("a2", EngineStage.DECODE, false));
    assertThat(cacheSource(chooser(0.001), engines)).contains(far);
    assertThat(cacheSource(chooser(0.1), engines)).isEmpty();
  }

  private static Optional<ServerLoad> cacheSource(ServerChooser chooser, List<ServerLoad> engines) {
    return chooser.planPrefill(PROMPT, engines, RATES, NOW_MS).orElseThrow().cacheSource();
  }

  /** Guards against KV cache that is moved to another domain for a few ms. */
  @Test
  void decodeStaysWhereTheKvCacheIs() {
    ServerLoad near = engine("a1", EngineStage.DECODE, false);
    ServerLoad far = engine("b1", EngineStage.DECODE, false);
    near.setOtherEntriesLoad(10, 0);
    List<ServerLoad> engines = List.of(near, far);
    assertThat(chooser(0.01).chooseDecodeEngine(PROMPT, engines, near.server(), RATES, NOW_MS))
        .contains(near);
    near.setOtherEntriesLoad(32, 0);
    assertThat(chooser(0.01).chooseDecodeEngine(PROMPT, engines, near.server(), RATES, NOW_MS))
        .contains(far);
  }

  /** Guards against copies in another domain whose bytes cost more than what they save. */
  @Test
  void copyLeavesTheDomainOnlyWhereItIsWorthItsBytes() {
    ServerLoad near = engine("a2", EngineStage.DECODE, false);
    ServerLoad far = engine("b1", EngineStage.DECODE, false);
    ServerLoad reclaimable = engine("a1", EngineStage.DECODE, true);
    ServerLoad owned = engine("a3", EngineStage.DECODE, false);
    List<ServerLoad> engines = List.of(near, far);
    assertThat(chooser(0.004).chooseBackup(PROMPT, engines, reclaimable, "run", NOW_MS))
        .contains(far);
    assertThat(chooser(0.004).chooseBackup(PROMPT, engines, owned, "run", NOW_MS)).contains(near);
    assertThat(chooser(0.01).chooseBackup(PROMPT, engines, reclaimable, "run", NOW_MS))
        .contains(near);
    assertThat(chooser(0.01).chooseBackup(PROMPT, List.of(far), reclaimable, "run", NOW_MS))
        .isEmpty();
  }
}
