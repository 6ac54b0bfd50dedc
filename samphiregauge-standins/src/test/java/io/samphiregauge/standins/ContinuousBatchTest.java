package io.samphiregauge.standins;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.schema.standin.EngineSpec;
import io.samphiregauge.schema.standin.StreamEnding;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong step timing, priorities or prefix caching in the simulated batch, which
 * would distort the tests that use it.
 */
class ContinuousBatchTest {
  private static final int STEP_US = 1_000;
  private static final int PREFILL_TOKENS_PER_SECOND = 100_000;

  private final VirtualTime time = new VirtualTime();
  private final List<String> log = new ArrayList<>();

  @Test
  void addsNewStreamToNextStepOfRunningBatch() {
    ContinuousBatch batch = batch(2, 1_000);
    batch.add(stream("a", "", 2, 0));
    batch.add(stream("b", "", 2, 0));
    time.run();
    assertThat(log).containsExactly("a0", "a1", "b0", "a FINISHED", "b1", "b FINISHED");
    assertThat(time.nowUs).isEqualTo(3 * STEP_US);
  }

  @Test
  void admitsHigherPriorityFirstWhenBatchIsFull() {
    ContinuousBatch batch = batch(1, 1_000);
    batch.add(stream("first", "", 1, 0));
    batch.add(stream("low", "", 1, 0));
    batch.add(stream("high", "", 1, 5));
    time.run();
    assertThat(log.stream().filter(line -> line.endsWith("FINISHED")))
        .containsExactly("first FINISHED", "high FINISHED", "low FINISHED");
  }

  @Test
  void skipsPrefillOfCachedPrompt() {
    ContinuousBatch batch = batch(1, 1_000);
    String prompt = "x".repeat(4 * PrefixHashes.BLOCK_BYTES);
    batch.add(stream("a", prompt, 1, 0));
    time.run();
    long coldUs = time.nowUs;
    batch.add(stream("b", prompt, 1, 0));
    time.run();
    long prefillUs = 4L * PrefixHashes.BLOCK_TOKENS * 1_000_000 / PREFILL_TOKENS_PER_SECOND;
    assertThat(coldUs).isEqualTo(2 * STEP_US + prefillUs);
    assertThat(time.nowUs - coldUs).isEqualTo(STEP_US);
  }

  @Test
  void evictsCachedPrefixWhenCacheIsFull() {
    ContinuousBatch batch = batch(1, PrefixHashes.BLOCK_TOKENS);
    String prompt = "x".repeat(PrefixHashes.BLOCK_BYTES);
    batch.add(stream("a", prompt, 1, 0));
    time.run();
    batch.add(stream("b", prompt.replace('x', 'y'), 1, 0));
    time.run();
    long beforeUs = time.nowUs;
    batch.add(stream("c", prompt, 1, 0));
    time.run();
    assertThat(time.nowUs - beforeUs).isGreaterThan(STEP_US);
  }

  @Test
  void resumesAtRequestedToken() {
    ContinuousBatch batch = batch(1, 1_000);
    CompletionBody body = new CompletionBody("m", "", 4, 2, 0, "", false, Optional.empty());
    batch.add(new TokenStream(body, i -> log.add("t" + i), e -> log.add(e.name()), () -> true));
    time.run();
    assertThat(log).containsExactly("t2", "t3", StreamEnding.FINISHED.name());
  }

  @Test
  void pausesWhileReceiverIsNotWritable() {
    ContinuousBatch batch = batch(1, 1_000);
    CompletionBody body = new CompletionBody("m", "", 2, 0, 0, "", false, Optional.empty());
    batch.add(
        new TokenStream(
            body, i -> log.add("t" + i), e -> log.add(e.name()), () -> time.nowUs > 5 * STEP_US));
    time.run();
    assertThat(log).containsExactly("t0", "t1", StreamEnding.FINISHED.name());
    assertThat(time.nowUs).isEqualTo(7 * STEP_US);
  }

  private ContinuousBatch batch(int slots, int cacheTokens) {
    EngineSpec spec =
        new EngineSpec(
            "e",
            List.of(),
            slots,
            (long) STEP_US,
            PREFILL_TOKENS_PER_SECOND,
            cacheTokens,
            0,
            0,
            true);
    return new ContinuousBatch(
        spec, time, new PrefixCache(cacheTokens, (kind, prefix, tokens) -> {}));
  }

  private TokenStream stream(String name, String prompt, int tokens, int priority) {
    CompletionBody body =
        new CompletionBody("m", prompt, tokens, 0, priority, "", false, Optional.empty());
    return new TokenStream(
        body, i -> log.add(name + i), ending -> log.add(name + " " + ending.name()), () -> true);
  }

  /** Runs tasks in order of their times, without waiting. */
  private static final class VirtualTime implements DelayedExecutor {
    private record Task(long atUs, int number, Runnable body) {}

    private final PriorityQueue<Task> tasks =
        new PriorityQueue<>(Comparator.comparingLong(Task::atUs).thenComparingInt(Task::number));
    private long nowUs;
    private int lastNumber;

    @Override
    public void executeAfterUs(long delayUs, Runnable task) {
      lastNumber++;
      tasks.add(new Task(nowUs + delayUs, lastNumber, task));
    }

    void run() {
      while (!tasks.isEmpty()) {
        Task next = tasks.poll();
        nowUs = next.atUs();
        next.body().run();
      }
    }
  }
}
