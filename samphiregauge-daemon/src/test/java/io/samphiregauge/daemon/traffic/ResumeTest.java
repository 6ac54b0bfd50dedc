package io.samphiregauge.daemon.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.suspect.Fingerprint;
import io.samphiregauge.core.suspect.Suspicion;
import io.samphiregauge.core.suspect.SuspicionEvent;
import io.samphiregauge.core.suspect.SuspicionState;
import io.samphiregauge.schema.standin.EngineFaults;
import io.samphiregauge.schema.standin.EngineRecord;
import io.samphiregauge.schema.standin.StreamEnding;
import io.samphiregauge.standins.EngineStandin;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against missing and repeated tokens in a stream whose engine crashes. */
class ResumeTest {
  private static final int TOKENS = 200;
  private static final int MAX_CHECKS = 10_000;
  private static final String BODY =
      "{\"model\":\"m1\",\"user\":\"u1\",\"prompt\":\"p\",\"max_tokens\":" + TOKENS + "}";

  private final NioEventLoopGroup loops = new NioEventLoopGroup(2);
  private EngineStandin first;
  private EngineStandin second;
  private TestEntry entry;

  @BeforeEach
  void start() {
    first = EngineStandin.start(loops, TestEntry.ANY, 2);
    second = EngineStandin.start(loops, TestEntry.ANY, 2);
    entry =
        new TestEntry(
            "vm1",
            1,
            5_000,
            List.of(
                TestEntry.engine("e1", first.address()), TestEntry.engine("e2", second.address())));
  }

  @AfterEach
  void stop() {
    entry.close();
    first.close();
    second.close();
    loops.shutdownGracefully();
  }

  @Test
  void resumesTheStreamOnAnotherEngineByteForByte() throws Exception {
    String expected;
    try (RawCaller caller = entry.caller()) {
      expected = caller.requestCompletion(BODY).body();
    }
    try (RawCaller caller = entry.caller()) {
      CompletableFuture<RawCaller.Response> response =
          CompletableFuture.supplyAsync(() -> caller.requestCompletion(BODY));
      EngineStandin running = awaitTokens(10);
      running.crash();
      assertThat(response.get().complete()).isTrue();
      assertThat(response.get().body()).isEqualTo(expected);
    }
    assertThat(entry.server.metrics().count("resumed_streams")).isEqualTo(1);
    EngineRecord survivor = survivingRecord();
    assertThat(survivor.getRequests().get(survivor.getRequests().size() - 1).getResumeFromToken())
        .isPositive();
    assertThat(entry.outputTokens.get()).isEqualTo(2 * TOKENS);
  }

  @Test
  void truncatesTheStreamWithAnErrorEventWhenNoEngineRemains() throws Exception {
    try (RawCaller caller = entry.caller()) {
      CompletableFuture<RawCaller.Response> response =
          CompletableFuture.supplyAsync(() -> caller.requestCompletion(BODY));
      awaitTokens(10);
      first.crash();
      second.crash();
      assertThat(response.get().complete()).isFalse();
      assertThat(response.get().body()).contains("event: error", "outcome_unknown");
    }
  }

  @Test
  void retriesOnAnotherEngineAfterACrashBeforeTheResponse() {
    first.setFaults(new EngineFaults(true, null, null, null, null, null, null, null));
    try (RawCaller caller = entry.caller()) {
      RawCaller.Response response = caller.requestCompletion(BODY);
      assertThat(response.status()).isEqualTo(200);
      assertThat(response.body()).endsWith("data: [DONE]\n\n");
    }
    assertThat(second.record().getRequests()).hasSize(1);
  }

  @Test
  void rejectsASuspectRequestWithoutAnIsolatedEngine() {
    String fingerprint =
        Fingerprint.of("t1", "POST /v1/completions", BODY.getBytes(StandardCharsets.UTF_8));
    SuspicionState state =
        Suspicion.handle(
                SuspicionState.initial(entry.incarnation),
                new SuspicionEvent.Crashed("e9", List.of(fingerprint)),
                0)
            .state();
    entry.setSuspicions(state.view());
    try (RawCaller caller = entry.caller()) {
      RawCaller.Response rejected = caller.requestCompletion(BODY);
      assertThat(rejected.status()).isEqualTo(503);
      assertThat(rejected.body()).contains("no_engine_alone", "not_run");
      assertThat(caller.requestCompletion(BODY.replace("u1", "u2")).status()).isEqualTo(200);
    }
    assertThat(first.record().getRequests().size() + second.record().getRequests().size())
        .isEqualTo(1);
  }

  /** Waits until the entry has forwarded some tokens, and returns the engine of the stream. */
  private EngineStandin awaitTokens(int tokens) throws InterruptedException {
    long before = entry.outputTokens.get();
    for (int i = 0; i < MAX_CHECKS && entry.outputTokens.get() < before + tokens; i++) {
      Thread.sleep(1);
    }
    return isRunning(first) ? first : second;
  }

  private static boolean isRunning(EngineStandin engine) {
    return engine.record().getRequests().stream()
        .anyMatch(r -> r.getEnding() == StreamEnding.RUNNING);
  }

  private EngineRecord survivingRecord() {
    return first.record().getCrashes() > 0 ? second.record() : first.record();
  }
}
