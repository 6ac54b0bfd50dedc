package io.samphiregauge.daemon.traffic;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.Clock;
import io.samphiregauge.core.config.KeyDigest;
import io.samphiregauge.core.log.Fold;
import io.samphiregauge.core.log.FoldStep;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.route.RoutingPolicies;
import io.samphiregauge.core.suspect.SuspicionView;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.config.BackendKind;
import io.samphiregauge.schema.config.Configuration;
import io.samphiregauge.schema.config.Model;
import io.samphiregauge.schema.config.Service;
import io.samphiregauge.schema.config.Settings;
import io.samphiregauge.schema.config.Team;
import io.samphiregauge.schema.config.Withdrawal;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.Note;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/** Traffic server whose control state is set by the test instead of a coordinator. */
final class TestEntry implements AutoCloseable {
  static final Address ANY = new Address("127.0.0.1", 0);
  static final String KEY = "secret";
  static final Clock CLOCK = () -> System.nanoTime() / 1_000_000;

  private static final Configuration EMPTY_CONFIGURATION =
      new Configuration(List.of(), List.of(), List.of(), List.of());
  private static final Withdrawal EMPTY_WITHDRAWAL =
      new Withdrawal(List.of(), List.of(), List.of(), List.of(), List.of());
  private static final Incarnation OPERATOR = new Incarnation("operator", 1L, 1L);

  final AtomicReference<TrafficView> view = new AtomicReference<>();
  final AtomicLong outputTokens = new AtomicLong();
  final Incarnation incarnation;
  final TrafficServer server;
  private final EventLoopGroup loops;
  private final List<LogRecord> processes = new ArrayList<>();
  private Note note =
      new Note(-1L, "ops", EMPTY_CONFIGURATION, EMPTY_CONFIGURATION, EMPTY_WITHDRAWAL);

  TestEntry(String vm, int threads, int keepMs, List<Backend> backends) {
    this.loops = new NioEventLoopGroup(threads);
    this.incarnation = new Incarnation(vm, 1L, 1L);
    configure(List.of(KEY), backends);
    TrafficContext context =
        new TrafficContext(
            settings(vm, threads, keepMs),
            CLOCK,
            incarnation,
            view::get,
            RoutingPolicies.leastLoad(),
            (team, model, prompt, output) -> outputTokens.addAndGet(output),
            (backend, fingerprint, next) -> next.run());
    this.server = TrafficServer.start(loops, ANY, context).value().orElseThrow();
    setMembers(List.of(this));
  }

  /** Replaces the keys of the only team and the backend servers. */
  void configure(List<String> keys, List<Backend> backends) {
    List<String> digests = keys.stream().map(KeyDigest::of).toList();
    Team team = new Team("t1", digests, List.of("m1"), List.of("booking", "wallet", "news"), 1.0);
    List<Service> services =
        List.of(
            new Service("booking", false, List.of("questions")),
            new Service("wallet", false, List.of("/")),
            new Service("news", true, List.of("")));
    Configuration configuration =
        new Configuration(
            List.of(team), List.of(new Model("m1", List.of("1"), 1L, 1L)), services, backends);
    note = new Note(-1L, "ops", configuration, EMPTY_CONFIGURATION, EMPTY_WITHDRAWAL);
    publish(true);
  }

  /** Replaces the set of entries that this entry knows. */
  void setMembers(List<TestEntry> entries) {
    processes.clear();
    for (TestEntry entry : entries) {
      String address = entry.server.address().toString();
      add(entry.incarnation, 1, new Joined("luzon", "a", address, "127.0.0.1:1"));
    }
    publish(true);
  }

  void markEnded(Incarnation ended) {
    add(ended, 1, new Joined("luzon", "a", "127.0.0.1:1", "127.0.0.1:1"));
    add(ended, 2, new Ended(ended));
    publish(true);
  }

  void setSuspicions(SuspicionView suspicions) {
    TrafficView current = view.get();
    view.set(
        new TrafficView(
            current.state(),
            current.fresh(),
            current.ready(),
            current.leavingBackends(),
            current.leavingVms(),
            Optional.of(suspicions)));
  }

  void setFresh(boolean fresh) {
    publish(fresh);
  }

  private void add(Incarnation writer, long sequence, RecordBody body) {
    processes.add(new LogRecord(writer, sequence, body));
  }

  /**
   * Publishes a view folded from the note and the process records, as if they were the full log.
   */
  private void publish(boolean fresh) {
    FoldedState state = FoldedState.empty();
    List<LogRecord> log = new ArrayList<>(processes);
    log.add(0, new LogRecord(OPERATOR, 1L, note));
    for (int offset = 0; offset < log.size(); offset++) {
      FoldStep step = Fold.apply(state, offset, log.get(offset));
      step.rejection()
          .ifPresent(
              failure -> {
                throw new AssertionError(failure.message());
              });
      state = step.state();
    }
    view.set(new TrafficView(state, fresh, true, Set.of(), Set.of()));
  }

  RawCaller caller() {
    return new RawCaller(server.address());
  }

  static Backend engine(String name, Address address) {
    return new Backend(
        name, BackendKind.ENGINE, address.toString(), "a", List.of("m1"), false, true, 1_000);
  }

  static Backend service(String name, String service, Address address) {
    return new Backend(
        name,
        BackendKind.SERVICE,
        address.toString(),
        "a",
        service,
        new ArrayList<>(),
        false,
        true,
        0);
  }

  private static Settings settings(String vm, int threads, int keepMs) {
    String json =
        """
        {"vm": "%s", "region": "luzon", "failureDomain": "a", "httpAddress": "127.0.0.1:0",
         "peerAddress": "127.0.0.1:0", "logUrl": "http://127.0.0.1:1", "seedPeers": [],
         "clientHopUs": 200, "domainHopUs": 100, "directoryKeepMs": %d, "trafficThreads": %d}
        """
            .formatted(vm, keepMs, threads);
    byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
    return Codec.json().decode(bytes, Settings.class).value().orElseThrow();
  }

  @Override
  public void close() {
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
