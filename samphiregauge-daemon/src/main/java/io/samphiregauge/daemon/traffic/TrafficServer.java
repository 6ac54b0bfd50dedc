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
  private final TrafficContext context;
  private final EventLoopGroup loops;
  private final SharedTrafficState sharedState;
  private final DecisionLog decisionLog;
  private final HttpServer server;

  private TrafficServer(
      TrafficContext parts,
      EventLoopGroup loops,
      SharedTrafficState shared,
      DecisionLog log,
      HttpServer server) {
    this.context = parts;
    this.loops = loops;
    this.sharedState = shared;
    this.decisionLog = log;
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
      EventLoopGroup loops, Address address, TrafficContext parts) {
    DecisionLog log = DecisionLog.start();
    SharedTrafficState shared = createSharedState(parts, log);
    Map<EventExecutor, RequestDispatcher> routes = createDispatchers(loops, parts, shared, log);
    Result<TrafficServer> started =
        HttpServer.start(
                loops,
                address,
                httpLimits(parts.settings()),
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
    long nowMs = context.clock().nowMs();
    sharedState.drainState().begin();
    // Other entries may have named this one up to now.
    long untilMs =
        Math.max(
            sharedState.drainState().directoryValidUntilMs(),
            nowMs + context.settings().getDirectoryKeepMs());
    CompletableFuture<Void> drained = new CompletableFuture<>();
    loops.schedule(() -> closeGracefully(drained), untilMs - nowMs, TimeUnit.MILLISECONDS);
    return drained;
  }

  @Override
  public void close() {
    CloseHelper.closeAll(server, decisionLog);
  }

  TrafficMetrics metrics() {
    return sharedState.metrics();
  }

  private void closeGracefully(CompletableFuture<Void> drained) {
    server
        .closeGracefully()
        .thenCompose(closed -> sharedState.runningCalls().whenIdle())
        .whenComplete((none, failure) -> drained.complete(null));
  }

  private static SharedTrafficState createSharedState(TrafficContext parts, DecisionLog log) {
    TrafficMetrics metrics = new TrafficMetrics();
    RunningCalls running = new RunningCalls();
    metrics.addGauge("dropped_decision_lines", log::dropped);
    metrics.addGauge("running_calls", running::count);
    return new SharedTrafficState(
        new BackendLoadTracker(parts.clock()), metrics, new DrainState(), running);
  }

  private static Map<EventExecutor, RequestDispatcher> createDispatchers(
      EventLoopGroup loops, TrafficContext parts, SharedTrafficState shared, DecisionLog log) {
    List<EventLoop> eventLoops = new ArrayList<>();
    loops.forEach(executor -> eventLoops.add((EventLoop) executor));
    List<EventLoopState> states = new ArrayList<>();
    TicketCallRunner tickets = new TicketCallRunner(states, eventLoops.size());
    DirectoryService directory = new DirectoryService(parts, shared.drainState());
    StatusPages pages = new StatusPages(parts, shared);
    Map<EventExecutor, RequestDispatcher> routes = new HashMap<>();
    for (EventLoop eventLoop : eventLoops) {
      BackendIndex index = new BackendIndex();
      BackendRouter router =
          new BackendRouter(parts, shared.loads(), index, log.newBuffer(eventLoop));
      EventLoopState state =
          new EventLoopState(
              eventLoop,
              parts,
              shared,
              new HttpConnectionPool(eventLoop),
              router,
              () -> ThreadLocalRandom.current().nextLong(),
              new RetryBudget(),
              createTicketTable(parts, states.size(), eventLoops.size()));
      states.add(state);
      routes.put(eventLoop, new RequestDispatcher(state, index, directory, tickets, pages));
    }
    return routes;
  }

  private static TicketTable<Consumer<TicketReply>> createTicketTable(
      TrafficContext parts, int partition, int partitions) {
    return new TicketTable<>(
        parts.self(), TicketLimits.perPartition(partitions), partition, partitions);
  }

  private static HttpLimits httpLimits(Settings settings) {
    HttpLimits defaults = HttpLimits.defaults();
    return new HttpLimits(
        settings.getMaxHeaderBytes().orElse(defaults.maxHeaderBytes()),
        settings.getMaxBodyBytes().orElse(defaults.maxBodyBytes()),
        settings.getHeadTimeoutMs().orElse(defaults.headTimeoutMs()),
        settings.getBodyTimeoutMs().orElse(defaults.bodyTimeoutMs()),
        defaults.idleTimeoutMs());
  }
}
