package io.samphiregauge.daemon;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.Clock;
import io.samphiregauge.core.control.CoordinatorConfig;
import io.samphiregauge.core.control.CoordinatorEvent;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.route.RoutingPolicies;
import io.samphiregauge.daemon.traffic.TrafficContext;
import io.samphiregauge.daemon.traffic.TrafficServer;
import io.samphiregauge.daemon.traffic.TrafficView;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.PeerMessageListener;
import io.samphiregauge.net.PeerTransport;
import io.samphiregauge.schema.config.Settings;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.agrona.CloseHelper;

/**
 * An entry process: serves callers, follows the shared log and runs the coordinator, which may hold
 * leases.
 *
 * <pre>{@code
 * try (Entry entry = Entry.start(settings, clock)) {
 *   Address address = entry.address();
 * }
 * }</pre>
 */
public final class Entry implements AutoCloseable {
  private static final Logger LOG = System.getLogger(Entry.class.getName());

  /** Time in which gossip announces the shutdown to the other entries. */
  private static final int SHUTDOWN_ANNOUNCEMENT_MS = 3_000;

  /**
   * Time limit for recording the end of this incarnation in the log. Without that record, the other
   * entries declare this process dead.
   */
  private static final int SHUTDOWN_TIMEOUT_MS = 5_000;

  private final EventLoopGroup loops;
  private final TrafficServer traffic;
  private final ControlSide control;

  private Entry(EventLoopGroup loops, TrafficServer traffic, ControlSide control) {
    this.loops = loops;
    this.traffic = traffic;
    this.control = control;
  }

  /** The network addresses of the entry, the log and the platform, parsed from the settings. */
  private record Addresses(Address http, Address peer, Address log, Optional<Address> platform) {
    static Result<Addresses> parse(Settings settings) {
      Result<Optional<Address>> platform =
          settings
              .getPlatformUrl()
              .map(url -> parseUrl(url).map(Optional::of))
              .orElseGet(() -> Result.success(Optional.empty()));
      return platform.flatMap(
          platformAddress ->
              parseUrl(settings.getLogUrl())
                  .flatMap(
                      log ->
                          Address.parse(settings.getHttpAddress())
                              .flatMap(
                                  http ->
                                      Address.parse(settings.getPeerAddress())
                                          .map(
                                              peer ->
                                                  new Addresses(
                                                      http, peer, log, platformAddress)))));
    }

    private static Result<Address> parseUrl(String url) {
      return Address.parse(url.replace("http://", ""));
    }
  }

  /**
   * Starts an entry and binds its addresses.
   *
   * @param settings settings of the entry
   * @param clock monotonic clock of the process, in milliseconds
   * @return the running entry, or a failure that names the address that is invalid or in use
   */
  public static Result<Entry> start(Settings settings, Clock clock) {
    return Addresses.parse(settings).flatMap(addresses -> start(settings, addresses, clock));
  }

  private static Result<Entry> start(Settings settings, Addresses addresses, Clock clock) {
    EventLoopGroup loops =
        new NioEventLoopGroup(
            settings.getTrafficThreads().orElse(Runtime.getRuntime().availableProcessors()));
    Incarnation self =
        new Incarnation(
            settings.getVm(), System.currentTimeMillis(), new SecureRandom().nextLong());
    // The control side needs the bound addresses of both servers, which in turn pass events to it.
    // Peer messages and usage that arrive before the control side exists are dropped.
    AtomicReference<Optional<ControlSide>> control = new AtomicReference<>(Optional.empty());
    PeerMessageListener peerListener =
        (from, message) ->
            control
                .get()
                .ifPresent(
                    controlSide ->
                        controlSide.post(new CoordinatorEvent.PeerMessageReceived(from, message)));
    Result<Entry> entry =
        PeerTransport.start(loops, addresses.peer(), self, peerListener, Entry::logWarning)
            .flatMap(
                peers -> {
                  Result<TrafficServer> traffic =
                      TrafficServer.start(
                          loops, addresses.http(), trafficContext(settings, clock, self, control));
                  traffic.failure().ifPresent(failure -> peers.close());
                  return traffic.map(
                      server -> {
                        CoordinatorConfig config = coordinatorConfig(settings, self, server, peers);
                        ControlSide controlSide =
                            new ControlSide(
                                loops, clock, config, addresses.log(), addresses.platform(), peers);
                        control.set(Optional.of(controlSide));
                        controlSide.start();
                        return new Entry(loops, server, controlSide);
                      });
                });
    entry.failure().ifPresent(failure -> stop(loops));
    return entry;
  }

  private static TrafficContext trafficContext(
      Settings settings,
      Clock clock,
      Incarnation self,
      AtomicReference<Optional<ControlSide>> control) {
    TrafficView emptyView =
        new TrafficView(ControlSnapshot.initial().state(), false, false, Set.of(), Set.of());
    return new TrafficContext(
        settings,
        clock,
        self,
        () -> control.get().map(ControlSide::view).orElse(emptyView),
        RoutingPolicies.leastLoad(),
        (team, model, promptTokens, outputTokens) ->
            control
                .get()
                .ifPresent(
                    controlSide ->
                        controlSide.usage().add(team, model, promptTokens, outputTokens)),
        (backend, fingerprint, onRecorded) -> onRecorded.run());
  }

  private static CoordinatorConfig coordinatorConfig(
      Settings settings, Incarnation self, TrafficServer server, PeerTransport peers) {
    Joined joined =
        new Joined(
            settings.getRegion(),
            settings.getFailureDomain(),
            server.address().toString(),
            peers.address().toString());
    return CoordinatorConfig.of(self, joined).withSeedPeers(settings.getSeedPeers());
  }

  /**
   * Returns the address that callers use.
   *
   * @return the bound address, with the actual port
   */
  public Address address() {
    return traffic.address();
  }

  /**
   * Returns a future that completes once the log records the end of this incarnation. The process
   * then no longer serves requests and has to be restarted.
   *
   * @return the future
   */
  public CompletableFuture<Void> ended() {
    return control.ended();
  }

  /**
   * Shuts down gracefully: other entries remove this one from their directories, running calls
   * finish, leases and pieces are released, and the end is recorded in the log.
   *
   * @return a future that completes when no call is running, no caller is connected, and the end is
   *     recorded or its time limit has passed; the entry can then be closed
   */
  public CompletableFuture<Void> drain() {
    control.post(new CoordinatorEvent.ShutdownAnnounced());
    CompletableFuture<Void> announced = new CompletableFuture<>();
    loops.schedule(() -> announced.complete(null), SHUTDOWN_ANNOUNCEMENT_MS, TimeUnit.MILLISECONDS);
    return announced
        .thenCompose(ignored -> traffic.drain())
        .thenCompose(ignored -> startShutdown());
  }

  private CompletableFuture<Void> startShutdown() {
    control.post(new CoordinatorEvent.ShutdownStarted());
    return control
        .ended()
        .copy()
        .completeOnTimeout(null, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    CloseHelper.closeAll(traffic, control);
    stop(loops);
  }

  private static void stop(EventLoopGroup loops) {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private static void logWarning(Failure failure) {
    LOG.log(Level.WARNING, "event={0} reason=\"{1}\"", failure.type(), failure.message());
  }
}
