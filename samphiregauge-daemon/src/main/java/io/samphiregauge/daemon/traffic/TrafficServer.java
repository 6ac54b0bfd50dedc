package io.samphiregauge.daemon.traffic;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.ticket.TicketLimits;
import io.samphiregauge.core.ticket.TicketReply;
import io.samphiregauge.core.ticket.TicketTable;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.HttpConnectionPool;
import io.samphiregauge.net.HttpLimits;
import io.samphiregauge.net.HttpServer;
import io.samphiregauge.schema.config.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.agrona.CloseHelper;

/**
 * Serves callers on event loops.
 *
 * <pre>{@code
 * TrafficServer server = TrafficServer.start(loops, address, parts).value().orElseThrow();
 * server.drain().join();
 * }</pre>
 */
public final class TrafficServer implements AutoCloseable {
  private final TrafficParts parts;
  private final EventLoopGroup loops;
  private final Shared shared;
  private final DecisionLog log;
  private final HttpServer server;

  private TrafficServer(
      TrafficParts parts, EventLoopGroup loops, Shared shared, DecisionLog log, HttpServer server) {
    this.parts = parts;
    this.loops = loops;
    this.shared = shared;
    this.log = log;
    this.server = server;
  }

  /**
   * Starts to serve.
   *
   * @param loops event loops; they stay the caller's
   * @param address address to bind, with port 0 for a free one
   * @param parts what the traffic side is made of
   * @return the running server, or why the address could not be bound
   */
  public static Result<TrafficServer> start(
      EventLoopGroup loops, Address address, TrafficParts parts) {
    DecisionLog log = DecisionLog.start();
    Shared shared = share(parts, log);
    Map<EventExecutor, Routes> routes = routes(loops, parts, shared, log);
    Result<TrafficServer> started =
        HttpServer.start(
                loops,
                address,
                limits(parts.settings()),
                parts.clock(),
                channel -> new CallerHandler(routes.get(channel.eventLoop()), shared))
            .map(server -> new TrafficServer(parts, loops, shared, log, server));
    started.failure().ifPresent(failure -> log.close());
    return started;
  }

  /**
   * Returns the address that callers use.
   *
   * @return the address, with the port that was taken
   */
  public Address address() {
    return server.address();
  }

  /**
   * Stops to serve without interrupting a request: leaves the directory, waits until no caller
   * relies on an answer of the directory, accepts no more connections, and lets running calls end.
   *
   * @return completes when no call runs and no caller is connected
   */
  public CompletableFuture<Void> drain() {
    long nowMs = parts.clock().nowMs();
    shared.drain().begin();
    // Other entries may have named this one up to now.
    long untilMs =
        Math.max(
            shared.drain().directoryValidUntilMs(), nowMs + parts.settings().getDirectoryKeepMs());
    CompletableFuture<Void> drained = new CompletableFuture<>();
    loops.schedule(() -> stop(drained), untilMs - nowMs, TimeUnit.MILLISECONDS);
    return drained;
  }

  @Override
  public void close() {
    CloseHelper.closeAll(server, log);
  }

  TrafficMetrics metrics() {
    return shared.metrics();
  }

  private void stop(CompletableFuture<Void> drained) {
    server
        .closeGracefully()
        .thenCompose(closed -> shared.running().whenNone())
        .whenComplete((none, failure) -> drained.complete(null));
  }

  private static Shared share(TrafficParts parts, DecisionLog log) {
    TrafficMetrics metrics = new TrafficMetrics();
    RunningCalls running = new RunningCalls();
    metrics.addGauge("dropped_decision_lines", log::dropped);
    metrics.addGauge("running_calls", running::count);
    return new Shared(new BackendLoads(parts.clock()), metrics, new Drain(), running);
  }

  private static Map<EventExecutor, Routes> routes(
      EventLoopGroup loops, TrafficParts parts, Shared shared, DecisionLog log) {
    List<EventLoop> eventLoops = new ArrayList<>();
    loops.forEach(executor -> eventLoops.add((EventLoop) executor));
    List<TrafficLoop> states = new ArrayList<>();
    TicketDesk tickets = new TicketDesk(states, eventLoops.size());
    Directory directory = new Directory(parts, shared.drain());
    StatusPages pages = new StatusPages(parts, shared);
    Map<EventExecutor, Routes> routes = new HashMap<>();
    for (EventLoop eventLoop : eventLoops) {
      BackendIndex index = new BackendIndex();
      Router router = new Router(parts, shared.loads(), index, log.lines(eventLoop));
      TrafficLoop state =
          new TrafficLoop(
              eventLoop,
              parts,
              shared,
              new HttpConnectionPool(eventLoop),
              router,
              () -> ThreadLocalRandom.current().nextLong(),
              new RetryBudget(),
              book(parts, states.size(), eventLoops.size()));
      states.add(state);
      routes.put(eventLoop, new Routes(state, index, directory, tickets, pages));
    }
    return routes;
  }

  private static TicketTable<Consumer<TicketReply>> book(
      TrafficParts parts, int partition, int partitions) {
    return new TicketTable<>(
        parts.self(), TicketLimits.perPartition(partitions), partition, partitions);
  }

  private static HttpLimits limits(Settings settings) {
    HttpLimits defaults = HttpLimits.defaults();
    return new HttpLimits(
        settings.getMaxHeaderBytes().orElse(defaults.maxHeaderBytes()),
        settings.getMaxBodyBytes().orElse(defaults.maxBodyBytes()),
        settings.getHeadTimeoutMs().orElse(defaults.headTimeoutMs()),
        settings.getBodyTimeoutMs().orElse(defaults.bodyTimeoutMs()),
        defaults.idleTimeoutMs());
  }
}
