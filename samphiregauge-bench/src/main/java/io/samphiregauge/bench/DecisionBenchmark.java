package io.samphiregauge.bench;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.engine.EngineProfile;
import io.samphiregauge.core.engine.EngineRegistry;
import io.samphiregauge.core.engine.EngineReport;
import io.samphiregauge.core.engine.PrefixIndex;
import io.samphiregauge.core.route.Placement;
import io.samphiregauge.core.route.PlacementPolicies;
import io.samphiregauge.core.route.PlacementPolicy;
import io.samphiregauge.core.route.PlacementRequest;
import io.samphiregauge.schema.order.EngineRole;
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

/** Measures one routing decision: candidate selection, scoring, and recording of what was sent. */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(3)
@State(Scope.Benchmark)
public class DecisionBenchmark {
  private static final int KV_TOKENS = 160_000;
  private static final int ENTRIES = 560;
  private static final int PREFIXES = 2_000;
  private static final int CHANGES_PER_REPORT = 64;

  /** Number of engines in the registry. */
  @Param({"8", "310", "3100"})
  public int engines;

  private final SplittableRandom generator = new SplittableRandom(5);
  private final RandomSource random = generator::nextLong;
  private final PlacementPolicy policy =
      PlacementPolicies.named(PlacementPolicies.PREDICTED).orElseThrow();
  private EngineRegistry registry;
  private long nowMs;

  /** Fills the registry with engines of all roles and with prefixes. */
  @Setup
  public void fill() {
    registry = new EngineRegistry(new PrefixIndex(PREFIXES), true);
    for (int i = 0; i < engines; i++) {
      EngineProfile profile = EngineProfile.ofCapacity("e-" + i, "d-" + i % 4, false, 1_480);
      registry.add(profile, role(i), KV_TOKENS, 0.6);
      registry.applyReport(createReport(i));
    }
    for (int i = 0; i < PREFIXES; i++) {
      registry.recordSentPrefix("e-" + generator.nextInt(engines), "p-" + i);
    }
  }

  /** Chooses engines for a request and records that it was sent and finished. */
  @Benchmark
  public Optional<Placement> route() {
    nowMs++;
    if (nowMs % CHANGES_PER_REPORT == 0) {
      registry.applyReport(createReport((int) (nowMs / CHANGES_PER_REPORT % engines)));
    }
    String prefix = "p-" + generator.nextInt(PREFIXES);
    var request = new PlacementRequest(1_200, 80, "d-0", false, ENTRIES);
    Optional<Placement> placement =
        policy.place(request, registry.candidates(prefix, 1_000, random), random);
    placement
        .flatMap(choice -> registry.recordSent(choice.engine().name(), 200, 1_280, nowMs))
        .ifPresent(sent -> registry.recordFinished(sent, nowMs));
    return placement;
  }

  private EngineReport createReport(int i) {
    int sequences = generator.nextInt(40);
    return new EngineReport("e-" + i, nowMs, role(i), true, 500, sequences, KV_TOKENS);
  }

  private static EngineRole role(int i) {
    return i % 4 == 0 ? EngineRole.PREFILL : EngineRole.MIXED;
  }
}
