package io.samphiregauge.bench;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.config.KeyDigest;
import io.samphiregauge.core.log.Fold;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.route.RoutingPolicies;
import io.samphiregauge.daemon.traffic.TrafficContext;
import io.samphiregauge.daemon.traffic.TrafficServer;
import io.samphiregauge.daemon.traffic.TrafficView;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.HttpServer;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.config.BackendKind;
import io.samphiregauge.schema.config.Configuration;
import io.samphiregauge.schema.config.Model;
import io.samphiregauge.schema.config.Settings;
import io.samphiregauge.schema.config.Team;
import io.samphiregauge.schema.config.Withdrawal;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.Note;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

/**
 * Compares the entry with {@link BareRelay} on loopback in one run, each on one event loop. Rounds
 * of the two alternate, so that a change of the load on the machine affects both.
 *
 * <pre>{@code
 * java -cp "samphiregauge-bench/target/classes:..." io.samphiregauge.bench.RelayExperiment 5
 * }</pre>
 */
public final class RelayExperiment {
  private static final Address EPHEMERAL_ADDRESS = new Address("127.0.0.1", 0);
  private static final int DEFAULT_ROUNDS = 5;
  private static final int MAX_ROUNDS = 20;
  private static final int CALLERS_AT_FULL_LOAD = 32;
  private static final int CALLERS_WITH_PAUSES = 8;
  private static final int PAUSE_US = 2_000;
  private static final int WARM_UP_MS = 500;
  private static final int FIRST_WARM_UP_MS = 4_000;
  private static final int MEASURE_MS = 2_000;
  private static final double NS_PER_US = 1_000;
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private RelayExperiment() {}

  /**
   * Measurements of one subject in one round.
   *
   * @param fullLoad results with callers that do not pause
   * @param pausedLoad results with callers that pause between requests
   * @param cpuUs processor time of the subject's event loop for each response, in microseconds
   */
  private record Round(
      LoadSource.Measurements fullLoad, LoadSource.Measurements pausedLoad, double cpuUs) {}

  /** A relay under test and its only event loop. */
  private record Subject(EventLoopGroup loop, Address address) {
    long cpuNs() {
      return loop.submit(THREADS::getCurrentThreadCpuTime).syncUninterruptibly().getNow();
    }
  }

  /**
   * Runs the experiment.
   *
   * @param args number of rounds, 5 by default, 20 at most
   * @throws InterruptedException if the run is interrupted
   */
  public static void main(String[] args) throws InterruptedException {
    int rounds = args.length == 0 ? DEFAULT_ROUNDS : Integer.parseInt(args[0]);
    EventLoopGroup backendLoops = new NioEventLoopGroup(2);
    EventLoopGroup callerLoops = new NioEventLoopGroup(2);
    EventLoopGroup relayLoop = new NioEventLoopGroup(1);
    EventLoopGroup entryLoop = new NioEventLoopGroup(1);
    HttpServer backend = FixedBackend.start(backendLoops, EPHEMERAL_ADDRESS);
    HttpServer relay = BareRelay.start(relayLoop, EPHEMERAL_ADDRESS, backend.address());
    try (TrafficServer entry = startEntry(entryLoop, backend.address())) {
      warmUp(callerLoops, relay.address());
      warmUp(callerLoops, entry.address());
      List<Round> relayRounds = new ArrayList<>();
      List<Round> entryRounds = new ArrayList<>();
      for (int i = 0; i < Math.min(rounds, MAX_ROUNDS); i++) {
        relayRounds.add(runRound(callerLoops, new Subject(relayLoop, relay.address())));
        entryRounds.add(runRound(callerLoops, new Subject(entryLoop, entry.address())));
      }
      print(relayRounds, entryRounds);
    }
    relay.close();
    backend.close();
    for (EventLoopGroup loops : List.of(backendLoops, callerLoops, relayLoop, entryLoop)) {
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static void warmUp(EventLoopGroup loops, Address target) throws InterruptedException {
    LoadSource.run(loops, target, CALLERS_AT_FULL_LOAD, 0, FIRST_WARM_UP_MS, 1);
  }

  private static Round runRound(EventLoopGroup loops, Subject subject) throws InterruptedException {
    long startNs = subject.cpuNs();
    LoadSource.Measurements fullLoad =
        LoadSource.run(loops, subject.address(), CALLERS_AT_FULL_LOAD, 0, WARM_UP_MS, MEASURE_MS);
    double cpuUs = (subject.cpuNs() - startNs) / NS_PER_US / fullLoad.allResponses();
    LoadSource.Measurements pausedLoad =
        LoadSource.run(
            loops, subject.address(), CALLERS_WITH_PAUSES, PAUSE_US, WARM_UP_MS, MEASURE_MS);
    return new Round(fullLoad, pausedLoad, cpuUs);
  }

  private static void print(List<Round> relayRounds, List<Round> entryRounds) {
    printRow("relay answers/s", relayRounds, r -> r.fullLoad().responsesPerSecond());
    printRow("entry answers/s", entryRounds, r -> r.fullLoad().responsesPerSecond());
    printRow("relay cpu us", relayRounds, Round::cpuUs);
    printRow("entry cpu us", entryRounds, Round::cpuUs);
    List<Double> ratios = new ArrayList<>();
    List<Double> addedP50 = new ArrayList<>();
    List<Double> addedP99 = new ArrayList<>();
    long failures = 0;
    for (int i = 0; i < relayRounds.size(); i++) {
      Round r = relayRounds.get(i);
      Round e = entryRounds.get(i);
      ratios.add(e.fullLoad().responsesPerSecond() / r.fullLoad().responsesPerSecond());
      addedP50.add((e.pausedLoad().p50Ns() - r.pausedLoad().p50Ns()) / NS_PER_US);
      addedP99.add((e.pausedLoad().p99Ns() - r.pausedLoad().p99Ns()) / NS_PER_US);
      failures += e.fullLoad().failures() + e.pausedLoad().failures();
      failures += r.fullLoad().failures() + r.pausedLoad().failures();
    }
    printRow("ratio entry/relay", ratios);
    printRow("relay p50 us", relayRounds, r -> r.pausedLoad().p50Ns() / NS_PER_US);
    printRow("entry p50 us", entryRounds, r -> r.pausedLoad().p50Ns() / NS_PER_US);
    printRow("added p50 us", addedP50);
    printRow("relay p99 us", relayRounds, r -> r.pausedLoad().p99Ns() / NS_PER_US);
    printRow("entry p99 us", entryRounds, r -> r.pausedLoad().p99Ns() / NS_PER_US);
    printRow("added p99 us", addedP99);
    System.out.println("failures " + failures);
  }

  private static void printRow(String name, List<Round> rounds, ToDoubleFunction<Round> value) {
    printRow(name, rounds.stream().mapToDouble(value).boxed().toList());
  }

  private static void printRow(String name, List<Double> values) {
    List<Double> sorted = values.stream().sorted().toList();
    System.out.printf(
        "%-18s median %10.2f  spread %10.2f .. %10.2f  rounds %d%n",
        name,
        sorted.get(sorted.size() / 2),
        sorted.get(0),
        sorted.get(sorted.size() - 1),
        sorted.size());
  }

  private static TrafficServer startEntry(EventLoopGroup loop, Address backend) {
    Team team = new Team("t1", List.of(KeyDigest.of("secret")), List.of("m1"), List.of(), 1.0);
    Backend engine =
        new Backend(
            "e1", BackendKind.ENGINE, backend.toString(), "a", List.of("m1"), false, true, 1_000);
    Configuration added =
        new Configuration(
            List.of(team),
            List.of(new Model("m1", List.of("1"), 1L, 1L)),
            List.of(),
            List.of(engine));
    Configuration emptyConfiguration =
        new Configuration(List.of(), List.of(), List.of(), List.of());
    Withdrawal emptyWithdrawal =
        new Withdrawal(List.of(), List.of(), List.of(), List.of(), List.of());
    Incarnation operator = new Incarnation("operator", 1L, 1L);
    LogRecord note =
        new LogRecord(
            operator, 1L, new Note(-1L, "ops", added, emptyConfiguration, emptyWithdrawal));
    FoldedState state = Fold.apply(FoldedState.empty(), 0, note).state();
    TrafficView view = new TrafficView(state, true, true, Set.of(), Set.of());
    TrafficContext context =
        new TrafficContext(
            settings(),
            () -> System.nanoTime() / 1_000_000,
            new Incarnation("vm1", 1L, 1L),
            () -> view,
            RoutingPolicies.leastLoad(),
            (t, m, prompt, output) -> {},
            (b, fingerprint, next) -> next.run());
    return TrafficServer.start(loop, EPHEMERAL_ADDRESS, context).value().orElseThrow();
  }

  private static Settings settings() {
    String json =
        """
        {"vm": "vm1", "region": "luzon", "failureDomain": "a", "httpAddress": "127.0.0.1:0",
         "peerAddress": "127.0.0.1:0", "logUrl": "http://127.0.0.1:1", "seedPeers": [],
         "clientHopUs": 200, "domainHopUs": 100, "directoryKeepMs": 100, "trafficThreads": 1}
        """;
    byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
    return Codec.json().decode(bytes, Settings.class).value().orElseThrow();
  }
}
