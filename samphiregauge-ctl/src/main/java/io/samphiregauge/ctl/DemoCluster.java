package io.samphiregauge.ctl;

import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.Clock;
import io.samphiregauge.core.config.KeyDigest;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.daemon.Entry;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.config.BackendKind;
import io.samphiregauge.schema.config.Configuration;
import io.samphiregauge.schema.config.FleetPolicy;
import io.samphiregauge.schema.config.Model;
import io.samphiregauge.schema.config.Service;
import io.samphiregauge.schema.config.Settings;
import io.samphiregauge.schema.config.Team;
import io.samphiregauge.schema.record.Note;
import io.samphiregauge.standins.EngineStandin;
import io.samphiregauge.standins.LogStandin;
import io.samphiregauge.standins.PlatformStandin;
import io.samphiregauge.standins.ServiceStandin;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.agrona.CloseHelper;

/**
 * Runs the whole system in one process on loopback: the log, the platform, a service and engines as
 * stand-ins, and one entry in each failure domain.
 */
final class DemoCluster implements AutoCloseable {
  static final String MODEL = "ceremony-planner";
  static final String SERVICE = "booking";
  static final String TEAM = "temple-office";

  private static final Address EPHEMERAL_ADDRESS = new Address("127.0.0.1", 0);
  private static final List<String> DOMAINS =
      List.of("th-central-a", "th-central-b", "th-central-c");
  private static final int TOKEN_INTERVAL_MS = 20;
  private static final int CAPACITY_TOKENS_PER_SECOND = 1_000;

  private final Deque<AutoCloseable> resources = new ArrayDeque<>();
  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(2);
  private final LogStandin log = register(LogStandin.start(eventLoops, EPHEMERAL_ADDRESS));
  private final PlatformStandin platform =
      register(
          PlatformStandin.start(eventLoops, EPHEMERAL_ADDRESS, (order, name) -> Optional.empty()));
  private final ServiceStandin service =
      register(ServiceStandin.start(eventLoops, EPHEMERAL_ADDRESS, SERVICE));
  private final List<Backend> backends = new ArrayList<>();
  private final List<Entry> entries = new ArrayList<>();

  private DemoCluster() {}

  /** Starts all parts; if an entry fails to start, closes the others and returns its failure. */
  static Result<DemoCluster> start(Clock clock) {
    DemoCluster cluster = new DemoCluster();
    for (String domain : DOMAINS) {
      cluster.startEngine(domain);
      Result<Entry> entry = Entry.start(cluster.settings(domain), clock);
      if (entry.failure().isPresent()) {
        cluster.close();
        return Result.failed(entry.failure().get());
      }
      entry.value().ifPresent(started -> cluster.entries.add(cluster.register(started)));
    }
    cluster.addServiceBackend();
    return Result.success(cluster);
  }

  String logUrl() {
    return "http://" + log.address();
  }

  List<String> entryAddresses() {
    return entries.stream().map(entry -> entry.address().toString()).toList();
  }

  /** Returns how many times the service has run the booking that carries a ticket. */
  int runCount(String ticket) {
    return service.runs(ticket);
  }

  /** Creates the first release note: a team, a model, a service and the backend servers. */
  Note initialNote(String key) {
    Team team = new Team(TEAM, List.of(KeyDigest.of(key)), List.of(MODEL), List.of(SERVICE), 1.0);
    Model model = new Model(MODEL, List.of("1"), 10L, 30L);
    Service booking = new Service(SERVICE, false, List.of("/dates"));
    Configuration added =
        new Configuration(
            List.of(team),
            List.of(model),
            List.of(booking),
            backends,
            new FleetPolicy(0.0, backends.size()));
    return new Note(
        -1L, "demo", added, NoteFiles.emptyConfiguration(), NoteFiles.emptyWithdrawal());
  }

  @Override
  public void close() {
    CloseHelper.closeAll(resources);
    eventLoops.shutdownGracefully();
  }

  private void startEngine(String domain) {
    String name = "engine-" + domain;
    EngineStandin engine =
        register(
            EngineStandin.start(
                eventLoops, EPHEMERAL_ADDRESS, EngineStandin.spec(name, TOKEN_INTERVAL_MS)));
    backends.add(
        new Backend(
            name,
            BackendKind.ENGINE,
            engine.address().toString(),
            domain,
            List.of(MODEL),
            false,
            true,
            CAPACITY_TOKENS_PER_SECOND));
  }

  private void addServiceBackend() {
    backends.add(
        new Backend(
            SERVICE + "-1",
            BackendKind.SERVICE,
            service.address().toString(),
            DOMAINS.get(0),
            SERVICE,
            List.of(),
            false,
            false,
            CAPACITY_TOKENS_PER_SECOND));
  }

  /** Decodes the settings from JSON, so that new optional fields need no change here. */
  private Settings settings(String domain) {
    String json =
        """
        {"vm": "vm-%s", "region": "th-central", "failureDomain": "%s", "seedPeers": [],
         "httpAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:0", "trafficThreads": 1,
         "logUrl": "%s", "platformUrl": "http://%s",
         "clientHopUs": 200, "domainHopUs": 300, "directoryKeepMs": 5000}
        """
            .formatted(domain, domain, logUrl(), platform.address());
    return Codec.json()
        .decode(json.getBytes(StandardCharsets.UTF_8), Settings.class)
        .value()
        .orElseThrow();
  }

  /** Registers a started resource; resources are closed in reverse order of their start. */
  private <T extends AutoCloseable> T register(T resource) {
    resources.addFirst(resource);
    return resource;
  }
}
