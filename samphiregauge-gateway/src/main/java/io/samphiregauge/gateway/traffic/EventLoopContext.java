package io.samphiregauge.gateway.traffic;

import io.netty.channel.EventLoop;
import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.admit.SharedRetryBudget;
import io.samphiregauge.core.dispatch.EngineRates;
import io.samphiregauge.core.dispatch.Prompt;
import io.samphiregauge.core.dispatch.Sampling;
import io.samphiregauge.core.dispatch.ServerChooser;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.exchange.LoadExchange;
import io.samphiregauge.core.site.EngineSpec;
import io.samphiregauge.core.stream.ServiceVersion;
import io.samphiregauge.core.suspect.RequestTraits;
import io.samphiregauge.gateway.GatewayView;
import io.samphiregauge.gateway.port.Dialect;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.CloseMode;
import io.samphiregauge.net.HttpConnectionPool;
import io.samphiregauge.net.PooledHttpClient;
import io.samphiregauge.schema.gateway.EntrySettings;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Holds the state and the services that all requests of one event loop share. Confined to that
 * event loop, except for {@link #execute}.
 */
final class EventLoopContext {
  /** Timeout for new connections; round trips between failure domains take a few milliseconds. */
  private static final int CONNECT_TIMEOUT_MS = 300;

  /**
   * Age above which the loads from other entries are considered stale: most prompts are prefilled
   * within this time.
   */
  private static final long MAX_LOAD_AGE_MS = 300;

  private static final long MS_PER_S = 1_000;

  private final EventLoop eventLoop;
  private final EntrySettings settings;
  private final Dialect dialect;
  private final RequestRouter router;
  private final RandomSource random;
  private final Supplier<GatewayView> viewSupplier;
  private final TrafficCallbacks callbacks;
  private final GatewayMetrics metrics;
  private final DecisionLogWriter decisionLog;
  private final HttpConnectionPool connectionPool;
  private final PooledHttpClient httpClient;
  private final Sampling sampling;
  private final DomainTraffic domainTraffic;
  private final RoomAccount room;
  private final ServerLoadTable serverLoads;
  private final ServerNoticeRecorder serverNotices = new ServerNoticeRecorder(this);
  private final HeldRequests heldRequests = new HeldRequests();
  private final WaitingRoom waitingRoom;
  private final CachedPromptBuffer cachedPrompts = new CachedPromptBuffer();
  private final CrashDetector crashDetector;
  private final QuotaGate quotaGate;
  private final BufferBudget bufferBudget = new BufferBudget();
  private final Map<String, EngineRates> engineRates = new HashMap<>();
  private final Map<String, SharedRetryBudget> retryBudgets = new HashMap<>();

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
    this.random = random;
    this.viewSupplier = viewSupplier;
    this.callbacks = callbacks;
    this.metrics = metrics;
    this.decisionLog = decisionLog;
    this.connectionPool = new HttpConnectionPool(eventLoop, CONNECT_TIMEOUT_MS, CloseMode.GRACEFUL);
    this.httpClient = new PooledHttpClient(eventLoop);
    this.room = new RoomAccount(this, settings.getServiceRoom().orElse(false));
    this.serverLoads = new ServerLoadTable(room);
    this.waitingRoom =
        new WaitingRoom(
            () -> view().config(),
            new SlotRoom(
                service ->
                    serverLoads.candidates(service, Set.of(), DualTimestamp.monotonicNowMs()),
                room,
                room::isActive,
                this::areLoadsStale),
            DualTimestamp::monotonicNowMs,
            (task, delayMs) -> schedule(delayMs, task),
            metrics);
    this.crashDetector = new CrashDetector(this, callbacks.onServerCrash());
    this.quotaGate = new QuotaGate(this, settings);
    Sampling randomSubset = Sampling.randomSubset(settings.getFailureDomain(), random);
    this.sampling =
        (servers, nowMs) ->
            (areLoadsStale() ? randomSubset : Sampling.all()).candidates(servers, nowMs);
    this.domainTraffic = new DomainTraffic(this, settings);
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

  /** Returns whether the entries tell each other how fast servers answer. */
  boolean sharesSpeeds() {
    return settings.getSharedSpeeds().orElse(false) && areLoadsStale();
  }

  /** Returns whether the group is so large that the loads of other entries are stale. */
  boolean areLoadsStale() {
    return LoadExchange.maxAgeMs(viewSupplier.get().members().size()) > MAX_LOAD_AGE_MS;
  }

  /** Returns the newest view, after updating the server table from it. */
  GatewayView view() {
    GatewayView view = viewSupplier.get();
    serverLoads.update(view);
    return view;
  }

  CrashDetector crashDetector() {
    return crashDetector;
  }

  QuotaGate quotaGate() {
    return quotaGate;
  }

  ServerLoadTable serverLoads() {
    return serverLoads;
  }

  RoomAccount room() {
    return room;
  }

  ServerNoticeRecorder serverNotices() {
    return serverNotices;
  }

  HeldRequests heldRequests() {
    return heldRequests;
  }

  WaitingRoom waitingRoom() {
    return waitingRoom;
  }

  CachedPromptBuffer cachedPrompts() {
    return cachedPrompts;
  }

  /** Records that a server has prefilled a prompt for this entry, so that its cache holds it. */
  void recordCachedPrompt(ServerLoad load, Prompt prompt) {
    load.prefixCache().recordPrefilled(prompt.parts());
    cachedPrompts.add(load, prompt);
  }

  /** Returns what chooses the server of the next attempt of a request. */
  ServerChooser chooser(RoutedRequest request) {
    return new ServerChooser(
        settings.getFailureDomain(),
        // Narrowed after the failure domains are chosen, and only for a send.
        (servers, nowMs) ->
            sampling.candidates(room.narrow(request.service(), servers, nowMs), nowMs),
        domainTraffic.crossing(request));
  }

  DomainTraffic domainTraffic() {
    return domainTraffic;
  }

  RandomSource random() {
    return random;
  }

  BufferBudget bufferBudget() {
    return bufferBudget;
  }

  /** Returns the rates of the engines of a service, creating them on first use. */
  EngineRates engineRates(String service) {
    return engineRates.computeIfAbsent(
        service,
        name -> new EngineRates(engineSpec(name).map(EngineSpec::transferMsPerToken).orElse(0.0)));
  }

  /** Returns the capacity of the engines of a service, or empty if it has none. */
  Optional<EngineSpec> engineSpec(String service) {
    return viewSupplier.get().config().flatMap(config -> config.engineSpec(service));
  }

  /** Records a request in the retry budget and the demand of its service. */
  void recordRequest(String service) {
    room.onArrival(service);
    retryBudget(service).recordRequest(DualTimestamp.monotonicNowMs());
  }

  /** Uses one retry of the budget of a service, and returns whether that is allowed. */
  boolean tryAcquireRetry(String service) {
    return retryBudget(service)
        .tryAcquire(viewSupplier.get().members().size(), DualTimestamp.monotonicNowMs());
  }

  private SharedRetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service,
        name ->
            new SharedRetryBudget(
                settings.getRetryRatio(),
                settings.getRetrySlack(),
                settings.getRetryWindowS() * MS_PER_S));
  }

  /** Reports to the control thread that a team's request has started to run. */
  void reportRequestStarted(String team, DualTimestamp startedAt) {
    callbacks.onRequestStarted().accept(team, startedAt);
  }

  /** Reports to the control thread that a server began to answer a request. */
  void reportRequestCompleted(RequestTraits traits) {
    callbacks.onRequestCompleted().accept(traits);
  }

  /** Reports to the control thread that a request with a blocked trait is sent as a trial. */
  void reportTrialStarted(String trait) {
    callbacks.onTrialStarted().accept(trait);
  }

  /** Reports to the control thread which software version began a stream. */
  void reportStreamBegun(String attemptId, ServiceVersion origin) {
    callbacks.onStreamBegun().accept(attemptId, origin);
  }

  /**
   * Finds the software version that began the stream that a request resumes.
   *
   * @param handler receives the version, or empty if it cannot be told, on the event loop
   */
  void findStreamVersion(RoutedRequest request, Consumer<Optional<String>> handler) {
    callbacks
        .streamVersionFinder()
        .find(
            request.service(),
            request.meta().resumedAttemptId().orElse(""),
            version -> execute(() -> handler.accept(version)));
  }

  void schedule(long delayMs, Runnable task) {
    eventLoop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
  }

  /** Runs a task on the event loop. Thread-safe. */
  void execute(Runnable task) {
    eventLoop.execute(task);
  }

  /**
   * Parses an address from the settings or from an announcement.
   *
   * @throws IllegalArgumentException if it is malformed
   */
  static Address parseAddress(String hostAndPort) {
    return Address.parse(hostAndPort)
        .fold(
            address -> address,
            failure -> {
              throw new IllegalArgumentException(failure.message());
            });
  }
}
