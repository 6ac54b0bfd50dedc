package io.samphiregauge.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.backend.EngineStage;
import java.util.Optional;
import java.util.SplittableRandom;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EngineRatesTest {
  private final EngineRates rates = new EngineRates(0.0004);
  private final SplittableRandom random = new SplittableRandom(9);

  private static ServerLoad engine(EngineStage stage) {
    return new ServerLoad(
        new BackendServer(
            "e", 1, "s", "v1", "10.0.0.1:80", "a", 2, false, Optional.of(stage), false),
        500_000,
        40);
  }

  private void observe(ServerLoad load, int count, double fixedMs, double tokensPerMs, double x) {
    for (int i = 0; i < count; i++) {
      int tokens = 500 + random.nextInt(20_000);
      rates.recordPrefill(load, tokens, (fixedMs + tokens / tokensPerMs) * x);
    }
  }

  /** Rates of three deployments; 100 responses are a few seconds of an entry's traffic. */
  @ParameterizedTest
  @CsvSource({"13,37", "75,30", "20,61"})
  void learnsTheRatesOfADeployment(double fixedMs, double tokensPerMs) {
    ServerLoad load = engine(EngineStage.PREFILL);
    observe(load, 100, fixedMs, tokensPerMs, 1);
    for (int tokens : new int[] {3_000, 10_000, 30_000}) {
      assertThat(rates.prefillMs(load, tokens))
          .isCloseTo(fixedMs + tokens / tokensPerMs, Percentage.withPercentage(25));
    }
  }

  /** Guards against rates distorted by prompts that waited behind those of other entries. */
  @Test
  void unknownQueuesDoNotDistortTheRates() {
    ServerLoad load = engine(EngineStage.PREFILL);
    for (int i = 0; i < 300; i++) {
      observe(load, 1, 20, 40, i % 4 == 0 ? 5 : 1);
    }
    assertThat(rates.prefillMs(load, 10_000)).isCloseTo(270, Percentage.withPercentage(30));
  }

  /** Guards against an engine that turns slow and still gets prompts as if it were sound. */
  @Test
  void followsAnEngineThatTurnsSlow() {
    ServerLoad slow = engine(EngineStage.PREFILL);
    ServerLoad sound = engine(EngineStage.PREFILL);
    observe(slow, 100, 20, 40, 1);
    for (int i = 0; i < 30; i++) {
      observe(slow, 1, 20, 40, 4);
      observe(sound, 5, 20, 40, 1);
    }
    assertThat(rates.prefillMs(slow, 10_000)).isGreaterThan(2 * rates.prefillMs(sound, 10_000));
  }

  /** Guards against an engine that reports absurd speeds and attracts all requests. */
  @Test
  void limitsWhatASingleEngineCanClaim() {
    ServerLoad lying = engine(EngineStage.PREFILL);
    for (int i = 0; i < 10_000; i++) {
      rates.recordPrefill(lying, 10_000, 0);
    }
    assertThat(rates.prefillMs(lying, 10_000)).isGreaterThan(10);
  }

  /** Guards against long prompts on engines whose running streams they would slow down. */
  @Test
  void prefillBesideRunningRequestsCostsMore() {
    ServerLoad load = engine(EngineStage.DECODE);
    assertThat(rates.interferenceMs(load, 1_000)).isZero();
    load.setOtherEntriesLoad(2, 0);
    assertThat(rates.interferenceMs(load, 1_000)).isPositive();
    assertThat(rates.interferenceMs(engine(EngineStage.PREFILL), 1_000)).isZero();
  }

  /** Guards against a full engine that is chosen because its requests are not counted as a wait. */
  @Test
  void fullEngineHasASlotWait() {
    ServerLoad load = engine(EngineStage.DECODE);
    load.setOtherEntriesLoad(1, 0);
    assertThat(rates.slotWaitMs(load)).isZero();
    load.setOtherEntriesLoad(4, 0);
    rates.recordRun(300);
    assertThat(rates.slotWaitMs(load)).isCloseTo(3 * 300 / 2.0, Percentage.withPercentage(1));
  }
}
