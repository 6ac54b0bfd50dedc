package io.samphiregauge.gateway.traffic;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.samphiregauge.core.Clock;
import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.admit.ShutdownWindow;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.site.SiteConfig;
import io.samphiregauge.gateway.GatewayView;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.gateway.port.Dialect;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.AsyncLogHandler;
import io.samphiregauge.net.HttpLimits;
import io.samphiregauge.net.HttpServer;
import io.samphiregauge.net.PeerMessageListener;
import io.samphiregauge.net.PeerTransport;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.gateway.EntrySettings;
import io.samphiregauge.schema.peer.BackendLoads;
import io.samphiregauge.schema.peer.QuotaAsk;
import io.samphiregauge.schema.peer.QuotaGrant;
import io.samphiregauge.schema.peer.QuotaHandover;
import io.samphiregauge.schema.peer.ShareNotice;
import io.samphiregauge.schema.record.Incarnation;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Serves callers: accepts their requests, forwards them to backend servers, and exchanges messages
 * with other entries. Thread-safe.
 */
public final class TrafficSide {
  private static final Logger LOG = System.getLogger(TrafficSide.class.getName());
  private static final Clock CLOCK = () -> DualTimestamp.monotonicNowMs();
  private static final RandomSource RANDOM = () -> ThreadLocalRandom.current().nextLong();

  private final GatewayMetrics metrics;
  private final AtomicReference<Optional<ShutdownWindow>> shutdown;
  private final PeerTransport peerTransport;
  private final HttpServer server;
  private final ShareExchange shares;

  private TrafficSide(
      GatewayMetrics metrics,
      AtomicReference<Optional<ShutdownWindow>> shutdown,
      PeerTransport peerTransport,
      HttpServer server,
      ShareExchange shares) {
    this.shares = shares;
    this.metrics = metrics;
    this.peerTransport = peerTransport;
    this.shutdown = shutdown;
    this.server = server;
  }

  /**
   * Starts to accept requests from callers and messages from other entries.
   *
   * @param settings provides the current settings of the entry
   * @param self this entry
   * @param loops event loops; one of them handles all traffic of callers
   * @param dialect parses and writes the headers of callers and backend servers
   * @param viewSupplier provides the newest view
   * @param callbacks receives the events for the control thread
   * @param metrics receives counts and latencies
   * @param log receives a line for each decision on a request
   * @return the running servers, or a failure if an address cannot be bound
   */
  public static Result<TrafficSide> start(
      Supplier<EntrySettings> settings,
      GroupMember self,
      EventLoopGroup loops,
      Dialect dialect,
      Supplier<GatewayView> viewSupplier,
      TrafficCallbacks callbacks,
      GatewayMetrics metrics,
      AsyncLogHandler log) {
    EventLoop eventLoop = loops.next();
    RequestRouter router =
        new RequestRouter(dialect, () -> settings.get().getRevocationMs(), RANDOM);
    EventLoopContext loopContext =
        new EventLoopContext(
            eventLoop,
            settings.get(),
            dialect,
            router,
            RANDOM,
            viewSupplier,
            callbacks,
            metrics,
            new DecisionLogWriter(eventLoop, log));
    AtomicReference<Optional<ShutdownWindow>> shutdown = new AtomicReference<>(Optional.empty());
    EntryLoadMeter meter = new EntryLoadMeter();
    AtomicReference<Optional<ShareExchange>> shares = new AtomicReference<>(Optional.empty());
    return startPeerTransport(
            loops,
            self,
            loopContext,
            withShareNotices(loopContext, shares::get, callbacks.onPeerMessage()))
        .flatMap(
            transport -> {
              ShareExchange exchange =
                  new ShareExchange(
                      loopContext, self, transport, meter, () -> settings.get().getRevocationMs());
              shares.set(Optional.of(exchange));
              loopContext.execute(exchange::start);
              return startServer(self, eventLoop, loopContext, meter, shutdown::get)
                  .map(server -> new TrafficSide(metrics, shutdown, transport, server, exchange));
            });
  }

  /** Passes the shares of other entries to the event loop, and all other messages on. */
  private static BiConsumer<String, PeerMessage> withShareNotices(
      EventLoopContext loopContext,
      Supplier<Optional<ShareExchange>> shares,
      BiConsumer<String, PeerMessage> others) {
    return (from, message) -> {
      if (message instanceof ShareNotice notice) {
        loopContext.execute(() -> shares.get().ifPresent(exchange -> exchange.onNotice(notice)));
      } else {
        others.accept(from, message);
      }
    };
  }

  private static Result<HttpServer> startServer(
      GroupMember self,
      EventLoop eventLoop,
      EventLoopContext loopContext,
      EntryLoadMeter meter,
      Supplier<Optional<ShutdownWindow>> shutdown) {
    return HttpServer.start(
        eventLoop,
        EventLoopContext.parseAddress(self.callerAddress()),
        () -> limits(loopContext.view()),
        CLOCK,
        channel -> {
          channel.pipeline().addFirst(meter.connectionHandler());
          return new CallerHandler(loopContext, shutdown);
        });
  }

  /** Returns the limits of the configuration; the times are those of the defaults. */
  private static HttpLimits limits(GatewayView view) {
    HttpLimits defaults = HttpLimits.defaults();
    return view.config()
        .flatMap(SiteConfig::requestLimits)
        .map(limits -> defaults.withSizes(limits.maxHeaderBytes(), limits.maxBodyBytes()))
        .orElse(defaults);
  }

  private static Result<PeerTransport> startPeerTransport(
      EventLoopGroup loops,
      GroupMember self,
      EventLoopContext loopContext,
      BiConsumer<String, PeerMessage> onPeerMessage) {
    AtomicReference<Optional<PeerLoadExchange>> loadExchange =
        new AtomicReference<>(Optional.empty());
    Incarnation incarnation = new Incarnation(self.vm(), self.startMs(), RANDOM.nextLong());
    PeerMessageListener listener =
        (from, message) -> {
          if (message instanceof BackendLoads received) {
            loopContext.execute(
                () -> loadExchange.get().ifPresent(exchange -> exchange.onLoadsReceived(received)));
          } else if (message instanceof QuotaAsk
              || message instanceof QuotaGrant
              || message instanceof QuotaHandover) {
            loopContext.execute(() -> loopContext.quotaGate().onMessage(message));
          } else {
            onPeerMessage.accept(from, message);
          }
        };
    return PeerTransport.start(
            loops,
            EventLoopContext.parseAddress(self.peerAddress()),
            incarnation,
            listener,
            failure -> LOG.log(Level.WARNING, "event=peer_failed cause=" + failure.message()))
        .map(
            transport -> {
              PeerLoadExchange exchange = new PeerLoadExchange(loopContext, self, transport);
              loadExchange.set(Optional.of(exchange));
              loopContext.execute(() -> loopContext.quotaGate().connect(self, transport));
              loopContext.execute(exchange::start);
              return transport;
            });
  }

  /** Returns the address for callers, with the port that was bound. */
  public Address address() {
    return server.address();
  }

  /**
   * Returns the addresses of the entries to which a caller should connect. Called on the event
   * loop.
   *
   * @param domain failure domain of the caller
   * @param caller identifies the caller
   * @return addresses to which the caller may connect
   */
  public List<String> directoryAddresses(String domain, String caller) {
    return shares.addressesFor(domain, caller);
  }

  /** Returns the counters and latencies of this entry. */
  public GatewayMetrics metrics() {
    return metrics;
  }

  /**
   * Sends a message to another entry (best effort).
   *
   * @param peerAddress peer address of the entry
   * @param message the message
   */
  public void sendToPeer(String peerAddress, PeerMessage message) {
    peerTransport.send(peerAddress, message);
  }

  /**
   * Makes each later response close its connection, so that callers query the directory again, and
   * refuses requests that the shutdown does not accept any more.
   *
   * @param window time of the shutdown
   */
  public void beginShutdown(ShutdownWindow window) {
    shutdown.set(Optional.of(window));
  }

  /**
   * Stops accepting connections, and closes each open one once no request is running on it.
   *
   * @return a future that completes when no connection is open
   */
  public CompletableFuture<Void> closeGracefully() {
    return server.closeGracefully();
  }

  /** Responds at once to each request that is still running, before the process exits. */
  public void endPendingRequests() {
    server.endPendingRequests();
  }
}
