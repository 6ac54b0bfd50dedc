package io.samphiregauge.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.admit.ShutdownWindow;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.control.GatewayControl;
import io.samphiregauge.gateway.control.StoreCallCounter;
import io.samphiregauge.gateway.port.Dialect;
import io.samphiregauge.gateway.port.FleetApi;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreValueDecoder;
import io.samphiregauge.gateway.traffic.GatewayMetrics;
import io.samphiregauge.gateway.traffic.TrafficCallbacks;
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
 * An entry in front of the backend servers of a shared platform. Thread-safe.
 *
 * <pre>{@code
 * Result<Gateway> gateway = Gateway.start(settingsWatch, loops, adapter, log);
 * }</pre>
 */
public final class Gateway implements AutoCloseable {
  private static final Logger LOG = System.getLogger(Gateway.class.getName());
  private static final long MS_PER_S = 1_000;

  /**
   * Time from the start of a shutdown until the listener closes. Callers with an older response of
   * the directory still connect during this time; some use it for three times its lifetime of 1 s.
   */
  private static final long STALE_DIRECTORY_MS = 3_200;

  /** Time before SIGKILL at which the process stops to wait for its callers. */
  private static final long EXIT_MARGIN_MS = 700;

  /** Longest wait for the last usage counts to be written. */
  private static final long USAGE_FLUSH_MS = 300;

  /** Time before the exit at which the last response must be written. */
  private static final long LAST_RESPONSE_MARGIN_MS = 100;

  private final EventLoopGroup loops;
  private final EntrySettings settings;
  private final GroupMember self;
  private final GatewayControl control;
  private final TrafficSide traffic;
  private final AtomicReference<GatewayView> view;
  private volatile boolean stopping;

  /**
   * The functions that an adapter provides for a platform.
   *
   * @param dialect parses and writes the headers of callers and backend servers
   * @param store calls to the store
   * @param valueDecoder decodes configurations and announcements
   * @param fleet calls that only the holder of the duty lease makes, if the platform offers them
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

  /** Creates the event loops of an entry: a single one, because an entry has one core. */
  public static EventLoopGroup createEventLoops() {
    return new NioEventLoopGroup(1);
  }

  /**
   * Starts an entry.
   *
   * @param settingsWatch provides the current settings
   * @param loops event loops for the traffic; closed with the entry
   * @param adapter functions for the platform
   * @param log handler of the log lines
   * @return the running entry, or a failure if an address cannot be bound
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
            settings.getPeerAddress(),
            settings.getVmLimits().map(EntryDirectory::toCapacity));
    AtomicReference<GatewayView> view = new AtomicReference<>(GatewayView.empty());
    GatewayMetrics metrics = new GatewayMetrics();
    StoreCallCounter storeCalls = new StoreCallCounter(metrics::increment);
    GatewayControl control =
        new GatewayControl(
            settings,
            self,
            storeCalls.count(adapter.store()),
            adapter.valueDecoder(),
            adapter.fleet(),
            view::set);
    return TrafficSide.start(
            settingsWatch,
            self,
            loops,
            adapter.dialect(),
            view::get,
            new TrafficCallbacks(
                control::countRequest,
                control::publishCrash,
                control::recordCompletion,
                control::recordTrialStarted,
                control::recordStreamOrigin,
                control::findStreamVersion,
                control::onPeerMessage),
            metrics,
            log)
        .map(
            traffic -> {
              control.start(traffic::sendToPeer);
              control.runPeriodically(SettingsWatch.RELOAD_PERIOD_MS, settingsWatch::reload);
              control.runPeriodically(StoreCallCounter.LOG_PERIOD_MS, storeCalls::log);
              LOG.log(
                  Level.INFO,
                  "event=started vm={0} boot={1} address={2}",
                  self.vm(),
                  Long.toString(self.startMs()),
                  self.callerAddress());
              return new Gateway(loops, settings, self, control, traffic, view);
            });
  }

  /** Returns the address for callers, with the port that was bound. */
  public Address address() {
    return traffic.address();
  }

  /** Returns whether callers should be directed to this entry. */
  public boolean isReady() {
    GatewayView current = view.get();
    return !stopping && current.config().isPresent() && !current.servers().isEmpty();
  }

  /**
   * Returns the addresses of the entries to which a caller should connect.
   *
   * @param domain failure domain of the caller
   * @param caller identifies the caller; one that asks again gets a similar answer
   * @return addresses to which the caller may connect
   */
  public List<String> directoryAddresses(String domain, String caller) {
    return traffic.directoryAddresses(domain, caller);
  }

  /** Returns the counters and latencies of this entry. */
  public GatewayMetrics metrics() {
    return traffic.metrics();
  }

  /** Returns the time from the start of a shutdown until the process is killed, in milliseconds. */
  public long shutdownGraceMs() {
    return settings.getShutdownGraceS() * MS_PER_S;
  }

  /**
   * Stops gracefully: directs callers to other entries, refuses requests that may outlast the
   * shutdown grace period, then closes the listener, then waits for running requests to complete.
   * Those still running at the end of the grace period are answered with an error.
   *
   * @return completes when no request is running, or when the shutdown grace period ends, and the
   *     usage counts are written or the store does not answer
   */
  public CompletableFuture<Void> stop() {
    stopping = true;
    LOG.log(Level.INFO, "event=stopping vm={0}", self.vm());
    long graceMs = shutdownGraceMs() - EXIT_MARGIN_MS;
    long lastResponseMs = graceMs - LAST_RESPONSE_MARGIN_MS;
    long nowMs = DualTimestamp.monotonicNowMs();
    traffic.beginShutdown(new ShutdownWindow(nowMs, nowMs + lastResponseMs));
    control.leave();
    CompletableFuture<Void> finished = new CompletableFuture<>();
    loops
        .next()
        .schedule(
            () -> traffic.closeGracefully().thenAccept(done -> finished.complete(null)),
            STALE_DIRECTORY_MS,
            TimeUnit.MILLISECONDS);
    loops.next().schedule(traffic::endPendingRequests, lastResponseMs, TimeUnit.MILLISECONDS);
    return finished
        .completeOnTimeout(null, graceMs, TimeUnit.MILLISECONDS)
        .thenCompose(done -> flushUsage(nowMs));
  }

  /** Writes the counts of the requests that began during the stop, for a short time at most. */
  private CompletableFuture<Void> flushUsage(long stopStartedAtMs) {
    LOG.log(
        Level.INFO,
        "event=callers_closed vm={0} took_ms={1}",
        self.vm(),
        Long.toString(DualTimestamp.monotonicNowMs() - stopStartedAtMs));
    return control.flushUsage().completeOnTimeout(null, USAGE_FLUSH_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    control.close();
    loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    LOG.log(Level.INFO, "event=stopped vm={0}", self.vm());
  }
}
