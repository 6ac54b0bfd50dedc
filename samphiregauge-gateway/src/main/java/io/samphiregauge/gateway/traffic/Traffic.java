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
final class Traffic {
  /** Neighbouring failure domains are a few milliseconds apart. */
  private static final int CONNECT_TIMEOUT_MS = 300;

  /** Within this time most prompts are prefilled, and a load that is older tells little. */
  private static final long MAX_LOAD_AGE_MS = 300;

  private final EventLoop loop;
  private final EntrySettings settings;
  private final Dialect dialect;
  private final CallRouting routing;
  private final Supplier<GatewayView> views;
  private final TrafficEvents events;
  private final GatewayMetrics metrics;
  private final DecisionLines decisions;
  private final HttpConnectionPool pool;
  private final PooledHttpClient calls;
  private final ServerChooser chooser;
  private final ServerTable servers = new ServerTable();
  private final CacheNews cacheNews = new CacheNews();
  private final CrashWatch crashes;
  private final Map<String, RetryBudget> budgets = new HashMap<>();

  Traffic(
      EventLoop loop,
      EntrySettings settings,
      Dialect dialect,
      CallRouting routing,
      RandomSource random,
      Supplier<GatewayView> views,
      TrafficEvents events,
      GatewayMetrics metrics,
      DecisionLines decisions) {
    this.loop = loop;
    this.settings = settings;
    this.dialect = dialect;
    this.routing = routing;
    this.views = views;
    this.events = events;
    this.metrics = metrics;
    this.decisions = decisions;
    this.pool = new HttpConnectionPool(loop, CONNECT_TIMEOUT_MS);
    this.calls = new PooledHttpClient(loop);
    this.crashes = new CrashWatch(this, events.crashes());
    Sampling few = Sampling.randomSubset(settings.getFailureDomain(), random);
    this.chooser =
        new ServerChooser(
            settings.getFailureDomain(),
            (servers, nowMs) -> (loadsAreOld() ? few : Sampling.all()).candidates(servers, nowMs));
  }

  Dialect dialect() {
    return dialect;
  }

  CallRouting routing() {
    return routing;
  }

  HttpConnectionPool pool() {
    return pool;
  }

  PooledHttpClient calls() {
    return calls;
  }

  GatewayMetrics metrics() {
    return metrics;
  }

  DecisionLines decisions() {
    return decisions;
  }

  private boolean loadsAreOld() {
    return PeerLoads.periodMs(views.get().members().size()) > MAX_LOAD_AGE_MS;
  }

  /** Returns the newest view, after the servers were brought up to it. */
  GatewayView view() {
    GatewayView view = views.get();
    servers.update(view);
    return view;
  }

  CrashWatch crashes() {
    return crashes;
  }

  ServerTable servers() {
    return servers;
  }

  CacheNews cacheNews() {
    return cacheNews;
  }

  /** Notes that a server has read a prompt for this entry. */
  void cached(ServerLoad load, Prompt prompt) {
    load.prefixCache().recordPrefilled(prompt.parts());
    cacheNews.add(load, prompt);
  }

  ServerChooser chooser() {
    return chooser;
  }

  RetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service, name -> RetryBudget.shareOf(settings.getRetryRatio(), settings.getRetrySlack()));
  }

  void countUsage(String team, DualTimestamp began) {
    events.usage().accept(team, began);
  }

  void after(long delayMs, Runnable task) {
    loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
  }

  void execute(Runnable task) {
    loop.execute(task);
  }

  static Address address(String text) {
    return Address.parse(text)
        .fold(
            address -> address,
            failure -> {
              throw new IllegalArgumentException(failure.message());
            });
  }
}
