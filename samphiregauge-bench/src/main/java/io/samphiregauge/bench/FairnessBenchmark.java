package io.samphiregauge.bench;

import io.samphiregauge.core.fair.FairQueue;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures one poll of the fair queue together with the offer of a replacement. */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(3)
@State(Scope.Benchmark)
public class FairnessBenchmark {
  private static final int WAITING_PER_TEAM = 4;

  /** Number of teams, all with waiting requests. */
  @Param({"8", "1800"})
  public int teams;

  private final SplittableRandom generator = new SplittableRandom(5);
  private final FairQueue<Integer> queue = new FairQueue<>();

  /** Queues {@value #WAITING_PER_TEAM} requests for each team. */
  @Setup
  public void fill() {
    for (int i = 0; i < teams * WAITING_PER_TEAM; i++) {
      queue.offer("t-" + i % teams, 1 + i % 3, cost(), i);
    }
  }

  /** Polls the next request and queues another one for the same team. */
  @Benchmark
  public Optional<FairQueue.Item<Integer>> pick() {
    Optional<FairQueue.Item<Integer>> next = queue.poll();
    next.ifPresent(item -> queue.offer(item.team(), 1, cost(), item.content()));
    return next;
  }

  private double cost() {
    return 10 + generator.nextInt(400);
  }
}
