package io.samphiregauge.gateway.traffic;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.samphiregauge.core.Clock;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.DualTimestamp;
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
import io.samphiregauge.schema.gateway.CrashRecord;
import io.samphiregauge.schema.gateway.EntrySettings;
import io.samphiregauge.schema.peer.BackendLoads;
import io.samphiregauge.schema.record.Incarnation;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/** Serves callers. */
public final class TrafficSide {
  private static final Logger LOG = System.getLogger(TrafficSide.class.getName());
  private static final Clock CLOCK = () -> DualTimestamp.monotonicNowMs();
  private static final RandomSource RANDOM = () -> ThreadLocalRandom.current().nextLong();

  private final GatewayMetrics metrics;
  private final Traffic traffic;
  private final AtomicBoolean stopping;
  private final PeerTransport peers;
  private final HttpServer server;

  private TrafficSide(
      GatewayMetrics metrics,
      Traffic traffic,
      AtomicBoolean stopping,
      PeerTransport peers,
      HttpServer server) {
    this.metrics = metrics;
    this.peers = peers;
    this.traffic = traffic;
    this.stopping = stopping;
    this.server = server;
  }

  /**
   * Starts to serve.
   *
   * @param settings gives the newest settings of the entry
   * @param self this entry
   * @param loops event loops; one of them carries all traffic
   * @param dialect how callers and servers write
   * @param views gives the newest view
   * @param events takes what the control side has to know
   * @param metrics takes counts and latencies
   * @param log takes a line for each decision
   * @return the serving side, or why the address could not be bound
   */
  public static Result<TrafficSide> start(
      Supplier<EntrySettings> settings,
      GroupMember self,
      EventLoopGroup loops,
      Dialect dialect,
      Supplier<GatewayView> views,
      TrafficEvents events,
      GatewayMetrics metrics,
      AsyncLogHandler log) {
    EventLoop loop = loops.next();
    CallRouting routing = new CallRouting(dialect, () -> settings.get().getRevocationMs(), RANDOM);
    Traffic traffic =
        new Traffic(
            loop,
            settings.get(),
            dialect,
            routing,
            RANDOM,
            views,
            events,
            metrics,
            new DecisionLines(loop, log));
    AtomicBoolean stopping = new AtomicBoolean();
    return startPeers(loops, self, traffic, events.messages())
        .flatMap(
            peers ->
                listen(self, loop, traffic, stopping)
                    .map(server -> new TrafficSide(metrics, traffic, stopping, peers, server)));
  }

  private static Result<HttpServer> listen(
      GroupMember self, EventLoop loop, Traffic traffic, AtomicBoolean stopping) {
    return HttpServer.start(
        loop,
        Traffic.address(self.callerAddress()),
        HttpLimits.defaults(),
        CLOCK,
        channel -> new CallerHandler(traffic, stopping::get));
  }

  private static Result<PeerTransport> startPeers(
      EventLoopGroup loops,
      GroupMember self,
      Traffic traffic,
      BiConsumer<String, PeerMessage> messages) {
    AtomicReference<Optional<PeerLoads>> loads = new AtomicReference<>(Optional.empty());
    Incarnation process = new Incarnation(self.vm(), self.boot(), RANDOM.nextLong());
    PeerMessageListener receiver =
        (from, message) -> {
          if (message instanceof BackendLoads received) {
            traffic.execute(() -> loads.get().ifPresent(taker -> taker.take(received)));
          } else {
            messages.accept(from, message);
          }
        };
    return PeerTransport.start(
            loops,
            Traffic.address(self.peerAddress()),
            process,
            receiver,
            failure -> LOG.log(Level.WARNING, "event=peer_failed cause=" + failure.message()))
        .map(
            transport -> {
              PeerLoads exchange = new PeerLoads(traffic, self, transport);
              loads.set(Optional.of(exchange));
              traffic.execute(exchange::start);
              return transport;
            });
  }

  /** Returns the address for callers, with the port that was taken. */
  public Address address() {
    return server.address();
  }

  /** Returns counts and latencies. */
  public GatewayMetrics metrics() {
    return metrics;
  }

  /**
   * Takes a crash that an entry has published; safe for all threads.
   *
   * @param crash the request and its server
   */
  public void crashed(CrashRecord crash) {
    traffic.execute(() -> traffic.crashes().take(crash));
  }

  /**
   * Sends a message to another entry; safe for all threads. It may be lost.
   *
   * @param peerAddress peer address of the entry
   * @param message the message
   */
  public void send(String peerAddress, PeerMessage message) {
    peers.send(peerAddress, message);
  }

  /** Answers from now on end their connections, so that callers ask the directory again. */
  public void stopKeepingConnections() {
    stopping.set(true);
  }

  /**
   * Stops to accept connections, and closes each one as soon as no request is on it.
   *
   * @return completes when no connection is open
   */
  public CompletableFuture<Void> finish() {
    return server.closeGracefully();
  }
}
