package io.samphiregauge.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.backend.EngineStage;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against engines that use what an engine of another software version has written. */
class VersionCompatibilityTest {
  private static final long NOW_MS = 1_000;
  private static final EngineRates RATES = new EngineRates(0.0004);
  private static final Prompt PROMPT =
      new Prompt(
          16_000, 20, List.of(new PromptPart("shared", 13_000), new PromptPart("own", 3_000)));

  private final ServerChooser chooser = new ServerChooser("a", Sampling.all());

  private static ServerLoad engine(String id, String version, EngineStage stage) {
    BackendServer server =
        new BackendServer(
            id, 1, "s", version, "10.0.0.1:80", "a", 6, false, Optional.of(stage), false);
    return new ServerLoad(server, 500_000, 40);
  }

  @Test
  void kvCacheIsDecodedByItsOwnVersion() {
    BackendServer source = engine("p", "v1", EngineStage.PREFILL).server();
    ServerLoad other = engine("d2", "v2", EngineStage.DECODE);
    ServerLoad busy = engine("d1", "v1", EngineStage.DECODE);
    busy.setOtherEntriesLoad(60, 200_000);
    assertThat(chooser.chooseDecodeEngine(PROMPT, List.of(other, busy), source, RATES, NOW_MS))
        .contains(busy);
    assertThat(chooser.chooseDecodeEngine(PROMPT, List.of(other), source, RATES, NOW_MS)).isEmpty();
  }

  @Test
  void enginePrefillsOnlyIfOneOfItsVersionDecodes() {
    ServerLoad prefill = engine("p2", "v2", EngineStage.PREFILL);
    ServerLoad busy = engine("d1", "v1", EngineStage.DECODE);
    busy.setOtherEntriesLoad(60, 200_000);
    assertThat(plan(prefill, busy).server()).isEqualTo(busy);
    assertThat(plan(prefill, busy, engine("d2", "v2", EngineStage.DECODE)).server())
        .isNotEqualTo(busy);
  }

  @Test
  void partsOfPromptsAreFetchedWithinAVersion() {
    ServerLoad idle = engine("d1", "v1", EngineStage.DECODE);
    ServerLoad other = cachingAndBusy("d2", "v2");
    assertThat(plan(idle, other).cacheSource()).isEmpty();
    ServerLoad same = cachingAndBusy("d3", "v1");
    assertThat(plan(idle, other, same).cacheSource()).contains(same);
  }

  @Test
  void copyOfAKvCacheStaysWithinAVersion() {
    ServerLoad runner = engine("d1", "v1", EngineStage.DECODE);
    ServerLoad other = engine("d2", "v2", EngineStage.DECODE);
    ServerLoad same = engine("d3", "v1", EngineStage.DECODE);
    assertThat(chooser.chooseBackup(PROMPT, List.of(runner, other), runner, "id", NOW_MS))
        .isEmpty();
    assertThat(chooser.chooseBackup(PROMPT, List.of(runner, other, same), runner, "id", NOW_MS))
        .contains(same);
  }

  private ServerChooser.PromptPlan plan(ServerLoad... engines) {
    return chooser.planPrefill(PROMPT, List.of(engines), RATES, NOW_MS).orElseThrow();
  }

  private static ServerLoad cachingAndBusy(String id, String version) {
    ServerLoad load = engine(id, version, EngineStage.DECODE);
    load.prefixCache().recordPrefilled(PROMPT.sharedParts());
    load.setOtherEntriesLoad(60, 300_000);
    return load;
  }
}
