package io.samphiregauge.gateway.traffic;

import io.netty.channel.EventLoop;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.admit.RetryBudget;
import io.samphiregauge.core.dispatch.Prompt;
import io.samphiregauge.core.dispatch.Sampling;
import io.samphiregauge.core.dispatch.ServerChooser;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.gateway.GatewayView;
import io.samphiregauge.gateway.port.Dialect;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.HttpConnectionPool;
import io.samphiregauge.net.PooledHttpClient;
import io.samphiregauge.schema.gateway.EntrySettings;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** What all requests of one event loop share. Used by that event loop only. */
final class EventLoopContext {
  /** Neighbouring failure domains are a few milliseconds apart. */
  private static final int CONNECT_TIMEOUT_MS = 300;

  /** Within this time most prompts are prefilled, and a load that is older tells little. */
  private static final long MAX_LOAD_AGE_MS = 300;

  private final EventLoop eventLoop;
  private final EntrySettings settings;
  private final Dialect dialect;
  private final RequestRouter router;
  private final Supplier<GatewayView> viewSupplier;
  private final TrafficCallbacks callbacks;
  private final GatewayMetrics metrics;
  private final DecisionLogWriter decisionLog;
  private final HttpConnectionPool connectionPool;
  private final PooledHttpClient httpClient;
  private final ServerChooser chooser;
  private final ServerLoadTable serverLoads = new ServerLoadTable();
  private final CachedPromptBuffer cachedPrompts = new CachedPromptBuffer();
  private final CrashDetector crashDetector;
  private final Map<String, RetryBudget> retryBudgets = new HashMap<>();

  EventLoopContext(
      EventLoop eventLoop,
      EntrySettings settings,
      Dialect dialect,
      RequestRouter router,
      RandomSource random,
      Supplier<GatewayView> viewSupplier,
      TrafficCallbacks callbacks,
      GatewayMetrics metrics,
      DecisionLogWriter decisionLog) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.dialect = dialect;
    this.router = router;
    this.viewSupplier = viewSupplier;
    this.callbacks = callbacks;
    this.metrics = metrics;
    this.decisionLog = decisionLog;
    this.connectionPool = new HttpConnectionPool(eventLoop, CONNECT_TIMEOUT_MS);
    this.httpClient = new PooledHttpClient(eventLoop);
    this.crashDetector = new CrashDetector(this, callbacks.onServerCrash());
    Sampling randomSubset = Sampling.randomSubset(settings.getFailureDomain(), random);
    this.chooser =
        new ServerChooser(
            settings.getFailureDomain(),
            (servers, nowMs) ->
                (areLoadsStale() ? randomSubset : Sampling.all()).candidates(servers, nowMs));
  }

  Dialect dialect() {
    return dialect;
  }

  RequestRouter router() {
    return router;
  }

  HttpConnectionPool connectionPool() {
    return connectionPool;
  }

  PooledHttpClient httpClient() {
    return httpClient;
  }

  GatewayMetrics metrics() {
    return metrics;
  }

  DecisionLogWriter decisionLog() {
    return decisionLog;
  }

  private boolean areLoadsStale() {
    return PeerLoadExchange.sendPeriodMs(viewSupplier.get().members().size()) > MAX_LOAD_AGE_MS;
  }

  /** Returns the newest view, after the servers were brought up to it. */
  GatewayView view() {
    GatewayView view = viewSupplier.get();
    serverLoads.update(view);
    return view;
  }

  CrashDetector crashDetector() {
    return crashDetector;
  }

  ServerLoadTable serverLoads() {
    return serverLoads;
  }

  CachedPromptBuffer cachedPrompts() {
    return cachedPrompts;
  }

  /** Notes that a server has read a prompt for this entry. */
  void recordCachedPrompt(ServerLoad load, Prompt prompt) {
    load.prefixCache().recordPrefilled(prompt.parts());
    cachedPrompts.add(load, prompt);
  }

  ServerChooser chooser() {
    return chooser;
  }

  RetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service, name -> RetryBudget.shareOf(settings.getRetryRatio(), settings.getRetrySlack()));
  }

  void reportRequestStarted(String team, DualTimestamp startedAt) {
    callbacks.onRequestStarted().accept(team, startedAt);
  }

  void schedule(long delayMs, Runnable task) {
    eventLoop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
  }

  void execute(Runnable task) {
    eventLoop.execute(task);
  }

  static Address parseAddress(String hostAndPort) {
    return Address.parse(hostAndPort)
        .fold(
            address -> address,
            failure -> {
              throw new IllegalArgumentException(failure.message());
            });
  }
}
