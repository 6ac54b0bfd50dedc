package io.samphiregauge.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.control.GatewayControl;
import io.samphiregauge.gateway.port.Dialect;
import io.samphiregauge.gateway.port.FleetApi;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreValueDecoder;
import io.samphiregauge.gateway.traffic.GatewayMetrics;
import io.samphiregauge.gateway.traffic.TrafficEvents;
import io.samphiregauge.gateway.traffic.TrafficSide;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.AsyncLogHandler;
import io.samphiregauge.schema.gateway.EntrySettings;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One entry in front of the backend servers of a shared platform.
 *
 * <pre>{@code
 * Result<Gateway> gateway = Gateway.start(watch, loops, outside, log);
 * }</pre>
 */
public final class Gateway implements AutoCloseable {
  private static final Logger LOG = System.getLogger(Gateway.class.getName());
  private static final long MS_PER_S = 1_000;

  /** Callers that kept an older answer of the directory still connect for this long. */
  private static final long STALE_DIRECTORY_MS = 2_500;

  /** Time before SIGKILL at which the process ends by itself. */
  private static final long EXIT_MARGIN_MS = 700;

  private final EventLoopGroup loops;
  private final EntrySettings settings;
  private final GroupMember self;
  private final GatewayControl control;
  private final TrafficSide traffic;
  private final AtomicReference<GatewayView> view;
  private volatile boolean stopping;

  /**
   * What an adapter of a platform provides.
   *
   * @param dialect how callers and servers write
   * @param store calls to the store
   * @param valueDecoder decodes what operators and backend servers write
   * @param fleet calls that only the holder of the duty lease makes
   */
  public record PlatformAdapter(
      Dialect dialect,
      SharedStore store,
      StoreValueDecoder valueDecoder,
      Optional<FleetApi> fleet) {}

  private Gateway(
      EventLoopGroup loops,
      EntrySettings settings,
      GroupMember self,
      GatewayControl control,
      TrafficSide traffic,
      AtomicReference<GatewayView> view) {
    this.loops = loops;
    this.settings = settings;
    this.self = self;
    this.control = control;
    this.traffic = traffic;
    this.view = view;
  }

  /** Returns the event loops of an entry; one carries all traffic, since an entry has one core. */
  public static EventLoopGroup createEventLoops() {
    return new NioEventLoopGroup(1);
  }

  /**
   * Starts an entry.
   *
   * @param settingsWatch gives its settings
   * @param loops event loops that carry its traffic; closed with the entry
   * @param adapter makes the adapter of the platform
   * @param log takes the log lines
   * @return the running entry, or which address is taken
   */
  public static Result<Gateway> start(
      SettingsWatch settingsWatch,
      EventLoopGroup loops,
      PlatformAdapter adapter,
      AsyncLogHandler log) {
    EntrySettings settings = settingsWatch.get();
    GroupMember self =
        new GroupMember(
            settings.getVm(),
            System.currentTimeMillis(),
            settings.getFailureDomain(),
            settings.getCallerAddress(),
            settings.getPeerAddress());
    AtomicReference<GatewayView> view = new AtomicReference<>(GatewayView.empty());
    GatewayControl control =
        new GatewayControl(
            settings, self, adapter.store(), adapter.valueDecoder(), adapter.fleet(), view::set);
    return TrafficSide.start(
            settingsWatch,
            self,
            loops,
            adapter.dialect(),
            view::get,
            new TrafficEvents(control::countRequest, control::publishCrash, control::onPeerMessage),
            new GatewayMetrics(),
            log)
        .map(
            traffic -> {
              control.start(traffic::crashed, traffic::send);
              control.runPeriodically(SettingsWatch.RELOAD_PERIOD_MS, settingsWatch::reload);
              LOG.log(
                  Level.INFO,
                  "event=started vm={0} boot={1} address={2}",
                  self.vm(),
                  Long.toString(self.boot()),
                  self.callerAddress());
              return new Gateway(loops, settings, self, control, traffic, view);
            });
  }

  /** Returns the address for callers, with the port that was taken. */
  public Address address() {
    return traffic.address();
  }

  /** Returns whether callers are to be sent here. */
  public boolean isReady() {
    GatewayView current = view.get();
    return !stopping && current.config().isPresent() && !current.servers().isEmpty();
  }

  /**
   * Returns the addresses that a caller is told.
   *
   * @param domain failure domain of the caller
   * @return addresses for callers
   */
  public List<String> directoryAddresses(String domain) {
    return EntryDirectory.addressesFor(view.get().members(), domain);
  }

  /** Returns counters and latencies. */
  public GatewayMetrics metrics() {
    return traffic.metrics();
  }

  /**
   * Stops without interrupting a request: callers are sent elsewhere, then the listener closes,
   * then the requests that run are ended by their servers.
   *
   * @return completes when the entry serves no request, or when its time is over
   */
  public CompletableFuture<Void> stop() {
    stopping = true;
    LOG.log(Level.INFO, "event=stopping vm={0}", self.vm());
    traffic.stopKeepingConnections();
    control.leave();
    long graceMs = settings.getShutdownGraceS() * MS_PER_S - EXIT_MARGIN_MS;
    CompletableFuture<Void> finished = new CompletableFuture<>();
    loops
        .next()
        .schedule(
            () -> traffic.finish().thenAccept(done -> finished.complete(null)),
            STALE_DIRECTORY_MS,
            TimeUnit.MILLISECONDS);
    return finished.completeOnTimeout(null, graceMs, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    control.flushUsage();
    control.close();
    loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    LOG.log(Level.INFO, "event=stopped vm={0}", self.vm());
  }
}
