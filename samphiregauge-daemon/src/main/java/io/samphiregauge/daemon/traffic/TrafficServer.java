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
 * HTTP server for callers, running on event loops.
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
      TrafficContext context,
      EventLoopGroup loops,
      SharedTrafficState sharedState,
      DecisionLog decisionLog,
      HttpServer server) {
    this.context = context;
    this.loops = loops;
    this.sharedState = sharedState;
    this.decisionLog = decisionLog;
    this.server = server;
  }

  /**
   * Binds the address and starts to accept connections.
   *
   * @param loops event loops to run on; not shut down by this server
   * @param address address to bind; port 0 selects a free port
   * @param context configuration and collaborators that all event loops share
   * @return the running server, or a failure if the address cannot be bound
   */
  public static Result<TrafficServer> start(
      EventLoopGroup loops, Address address, TrafficContext context) {
    DecisionLog decisionLog = DecisionLog.start();
    SharedTrafficState sharedState = createSharedState(context, decisionLog);
    Map<EventExecutor, RequestDispatcher> dispatchers =
        createDispatchers(loops, context, sharedState, decisionLog);
    Result<TrafficServer> started =
        HttpServer.start(
                loops,
                address,
                () -> httpLimits(context.settings()),
                context.clock(),
                channel -> new CallerHandler(dispatchers.get(channel.eventLoop()), sharedState))
            .map(server -> new TrafficServer(context, loops, sharedState, decisionLog, server));
    started.failure().ifPresent(failure -> decisionLog.close());
    return started;
  }

  /**
   * Returns the address that callers use.
   *
   * @return the bound address, with the actual port
   */
  public Address address() {
    return server.address();
  }

  /**
   * Shuts down gracefully: removes this entry from the directory, waits until the directory
   * responses that callers may hold have expired, stops accepting connections, and waits for
   * running calls to finish.
   *
   * @return a future that completes when no call is running and no caller is connected
   */
  public CompletableFuture<Void> drain() {
    long nowMs = context.clock().nowMs();
    sharedState.drainState().begin();
    // Other entries may have included this one in their directory responses until now.
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
        .whenComplete((ignored, failure) -> drained.complete(null));
  }

  private static SharedTrafficState createSharedState(
      TrafficContext context, DecisionLog decisionLog) {
    TrafficMetrics metrics = new TrafficMetrics();
    RunningCalls runningCalls = new RunningCalls();
    metrics.addGauge("dropped_decision_lines", decisionLog::dropped);
    metrics.addGauge("running_calls", runningCalls::count);
    return new SharedTrafficState(
        new BackendLoadTracker(context.clock()), metrics, new DrainState(), runningCalls);
  }

  private static Map<EventExecutor, RequestDispatcher> createDispatchers(
      EventLoopGroup loops,
      TrafficContext context,
      SharedTrafficState sharedState,
      DecisionLog decisionLog) {
    List<EventLoop> eventLoops = new ArrayList<>();
    loops.forEach(executor -> eventLoops.add((EventLoop) executor));
    List<EventLoopState> loopStates = new ArrayList<>();
    TicketCallRunner ticketRunner = new TicketCallRunner(loopStates, eventLoops.size());
    DirectoryService directoryService = new DirectoryService(context, sharedState.drainState());
    StatusPages statusPages = new StatusPages(context, sharedState);
    Map<EventExecutor, RequestDispatcher> dispatchers = new HashMap<>();
    for (EventLoop eventLoop : eventLoops) {
      BackendIndex index = new BackendIndex();
      BackendRouter router =
          new BackendRouter(context, sharedState.loads(), index, decisionLog.newBuffer(eventLoop));
      EventLoopState loopState =
          new EventLoopState(
              eventLoop,
              context,
              sharedState,
              new HttpConnectionPool(eventLoop),
              router,
              () -> ThreadLocalRandom.current().nextLong(),
              new RetryBudget(),
              createTicketTable(context, loopStates.size(), eventLoops.size()));
      loopStates.add(loopState);
      dispatchers.put(
          eventLoop,
          new RequestDispatcher(loopState, index, directoryService, ticketRunner, statusPages));
    }
    return dispatchers;
  }

  private static TicketTable<Consumer<TicketReply>> createTicketTable(
      TrafficContext context, int partition, int partitions) {
    return new TicketTable<>(
        context.self(), TicketLimits.perPartition(partitions), partition, partitions);
  }

  private static HttpLimits httpLimits(Settings settings) {
    HttpLimits defaults = HttpLimits.defaults();
    return new HttpLimits(
        settings.getMaxHeaderBytes().orElse(defaults.maxHeaderBytes()),
        settings.getMaxBodyBytes().orElse(defaults.maxBodyBytes()),
        settings.getHeadTimeoutMs().orElse(defaults.headTimeoutMs()),
        settings.getBodyTimeoutMs().orElse(defaults.bodyTimeoutMs()),
        defaults.idleTimeoutMs(),
        defaults.bodyMemoryBytes());
  }
}
