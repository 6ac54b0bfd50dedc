package io.samphiregauge.bench;

import io.samphiregauge.schema.peer.MemberState;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.function.Predicate;

/**
 * Measures the cost of membership per node, and the time until all members learn of a death and of
 * a refuted suspicion. Times are virtual; processor time is real.
 */
public final class GossipExperiment {
  private static final int[] SIZES = {8, 64, 560};
  private static final int TRIALS = 5;
  private static final long IDLE_MS = 60_000;
  private static final long TIMEOUT_MS = 120_000;
  private static final long ISOLATION_MS = 3_000;

  private GossipExperiment() {}

  /**
   * Prints one line of measurements for each cluster size.
   *
   * @param args seed of the first trial, then cluster sizes; 1 and 8, 64, 560 members by default
   */
  public static void main(String[] args) {
    long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
    int[] sizes =
        args.length > 1 ? Arrays.stream(args).skip(1).mapToInt(Integer::parseInt).toArray() : SIZES;
    for (int size : sizes) {
      measure(size, seed, System.out);
    }
  }

  private static void measure(int size, long seed, PrintStream out) {
    long[] joins = new long[TRIALS];
    long[] bytes = new long[TRIALS];
    long[] cpuMicros = new long[TRIALS];
    long[] deaths = new long[TRIALS];
    long[] refutations = new long[TRIALS];
    long falseDeaths = 0;
    for (int i = 0; i < TRIALS; i++) {
      GossipNetwork network = new GossipNetwork(size, seed + i);
      joins[i] = timeUntil(network, GossipNetwork::allKnowAll);
      network.runUntil(IDLE_MS, n -> false);
      cpuMicros[i] = measureIdle(network, size, bytes, i);
      network.setDown(size / 2, true);
      deaths[i] = timeUntil(network, n -> n.allSee(size / 2, state -> state == MemberState.DEAD));
      network.runUntil(IDLE_MS, n -> false);
      refutations[i] = measureRefutation(network);
      falseDeaths += network.countMembersSeeing(1, state -> state == MemberState.DEAD);
    }
    out.printf(
        "nodes=%d trials=%d join_ms=%s bytes_per_s=%s cpu_us_per_s=%s death_known_ms=%s"
            + " refuted_ms=%s false_deaths=%d%n",
        size,
        TRIALS,
        formatSpread(joins),
        formatSpread(bytes),
        formatSpread(cpuMicros),
        formatSpread(deaths),
        formatSpread(refutations),
        falseDeaths);
  }

  /**
   * Measures an idle cluster: stores the bytes that a node sends in a second in {@code bytes}, and
   * returns the processor time of a node in microseconds per second.
   */
  private static long measureIdle(GossipNetwork network, int size, long[] bytes, int trial) {
    long bytesBefore = network.bytes();
    long cpuBefore = cpuNanos();
    network.runUntil(IDLE_MS, n -> false);
    long nodeSeconds = size * IDLE_MS / 1_000;
    bytes[trial] = (network.bytes() - bytesBefore) / nodeSeconds;
    return (cpuNanos() - cpuBefore) / 1_000 / nodeSeconds;
  }

  /**
   * Isolates a running member, and returns the time in milliseconds from its reconnection until no
   * member sees it as suspect or dead, or -1 after {@value #TIMEOUT_MS} ms.
   */
  private static long measureRefutation(GossipNetwork network) {
    network.setDown(1, true);
    network.runUntil(ISOLATION_MS, n -> false);
    network.setDown(1, false);
    return timeUntil(
        network,
        n -> n.countMembersSeeing(1, s -> s == MemberState.SUSPECT || s == MemberState.DEAD) == 0);
  }

  private static long timeUntil(GossipNetwork network, Predicate<GossipNetwork> done) {
    long startMs = network.nowMs();
    return network.runUntil(TIMEOUT_MS, done) ? network.nowMs() - startMs : -1;
  }

  private static long cpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static String formatSpread(long[] values) {
    long[] sorted = values.clone();
    Arrays.sort(sorted);
    return "%d(%d..%d)".formatted(sorted[TRIALS / 2], sorted[0], sorted[TRIALS - 1]);
  }
}
