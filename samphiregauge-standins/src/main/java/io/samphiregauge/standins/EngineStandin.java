package io.samphiregauge.standins;

import io.netty.channel.EventLoopGroup;
import io.samphiregauge.net.Address;
import io.samphiregauge.schema.EngineOrder;
import io.samphiregauge.schema.order.ChangeRole;
import io.samphiregauge.schema.order.Drain;
import io.samphiregauge.schema.order.EngineRole;
import io.samphiregauge.schema.order.LoadModel;
import io.samphiregauge.schema.platform.KvBlock;
import io.samphiregauge.schema.platform.LoadReport;
import io.samphiregauge.schema.platform.OrderAnswer;
import io.samphiregauge.schema.platform.OrderRequest;
import io.samphiregauge.schema.standin.EngineFaults;
import io.samphiregauge.schema.standin.EngineRecord;
import io.samphiregauge.schema.standin.EngineSpec;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;

/**
 * Stand-in for a model engine, with continuous batching, a prefix cache, orders and configurable
 * faults. Counts requests that carry a caller's API key instead of rejecting them.
 *
 * <pre>{@code
 * EngineStandin engine = EngineStandin.start(loops, new Address("127.0.0.1", 0), 5);
 * engine.crashWhen(body -> body.contains("poison"));
 * }</pre>
 */
public final class EngineStandin implements AutoCloseable {
  private static final int US_PER_MS = 1_000;
  private static final int DEFAULT_SLOTS = 256;
  private static final int DEFAULT_PREFILL_TOKENS_PER_SECOND = 1_000_000;
  private static final int DEFAULT_CACHE_TOKENS = 100_000;
  private static final int DEFAULT_ROLE_CHANGE_MS = 2_000;
  private static final int DEFAULT_LOAD_MODEL_MS = 500;

  private final EngineSpec spec;
  private final StandinServer server;
  private final CacheEventLog cacheEventLog = new CacheEventLog(StandinServer::nowMs);
  private final PrefixCache cache;
  private final ContinuousBatch batch;
  private final KvStore kvStore;
  private final CompletionHandler completionHandler;
  private final EngineOrderHandler orderHandler;
  private final EngineFaultState faultState = new EngineFaultState();
  private final LoadReportHistory loadReports = new LoadReportHistory();
  private final Set<String> models;
  private final AtomicReference<Predicate<String>> crashCondition =
      new AtomicReference<>(body -> false);
  private EngineRole role = EngineRole.MIXED;
  private boolean changingRole;
  private boolean leaving;
  private boolean crashed;
  private int crashes;
  private int keyViolations;
  private int interruptedStreams;

  private EngineStandin(EventLoopGroup loops, Address address, EngineSpec spec) {
    this.spec = spec;
    this.models = new TreeSet<>(spec.getModels());
    this.cache = new PrefixCache(spec.getCacheTokens(), cacheEventLog::add);
    this.kvStore = new KvStore(spec.getName());
    this.orderHandler = new EngineOrderHandler(spec.isChecksFencing());
    this.server = StandinServer.start("engine", loops, address, this::handle);
    this.batch = new ContinuousBatch(spec, server::executeAfterUs, cache);
    this.completionHandler =
        new CompletionHandler(batch, kvStore, server::execute, this::recordLoad);
    server.execute(this::recordLoad);
  }

  /**
   * Starts the stand-in with the default specification, named "engine".
   *
   * @param loops event loops; one of them owns the state
   * @param address address to bind
   * @param tokenIntervalMs milliseconds between two tokens of a stream
   * @return the running stand-in
   */
  public static EngineStandin start(EventLoopGroup loops, Address address, int tokenIntervalMs) {
    return start(loops, address, spec("engine", tokenIntervalMs));
  }

  /**
   * Starts the stand-in.
   *
   * @param loops event loops; one of them owns the state
   * @param address address to bind
   * @param spec capacity, delays and models of the engine
   * @return the running stand-in
   */
  public static EngineStandin start(EventLoopGroup loops, Address address, EngineSpec spec) {
    return new EngineStandin(loops, address, spec);
  }

  /**
   * Returns the default specification: a large batch, fast prefill, fencing checked.
   *
   * @param name name of the engine
   * @param tokenIntervalMs milliseconds between two tokens of a stream
   * @return the specification
   */
  public static EngineSpec spec(String name, int tokenIntervalMs) {
    return new EngineSpec(
        name,
        List.of(),
        DEFAULT_SLOTS,
        (long) tokenIntervalMs * US_PER_MS,
        DEFAULT_PREFILL_TOKENS_PER_SECOND,
        DEFAULT_CACHE_TOKENS,
        DEFAULT_ROLE_CHANGE_MS,
        DEFAULT_LOAD_MODEL_MS,
        true);
  }

  /** Returns the bound address. */
  public Address address() {
    return server.address();
  }

  /**
   * Sets faults; they are in effect when the method returns.
   *
   * @param faults faults to change; absent ones keep their values
   */
  public void setFaults(EngineFaults faults) {
    server.callAndWait(
        () -> {
          applyFaults(faults);
          return true;
        });
  }

  /**
   * Sets the predicate that selects the completion requests that crash the engine.
   *
   * @param condition tests the body of a request; called on the event loop that owns the state
   */
  public void crashWhen(Predicate<String> condition) {
    crashCondition.set(condition);
  }

  /**
   * Crashes the engine; it stays down until {@link #restart}, or until the configured restart delay
   * has passed.
   */
  public void crash() {
    server.callAndWait(
        () -> {
          enterCrashedState();
          return true;
        });
  }

  /** Restarts a crashed engine, with empty caches. */
  public void restart() {
    server.callAndWait(
        () -> {
          leaveCrashedState();
          return true;
        });
  }

  /**
   * Returns the requests that the engine has received, with counts of crashes, interrupted streams
   * and API key violations.
   *
   * @return orders, completions and counts
   */
  public EngineRecord record() {
    return server.callAndWait(this::toRecord);
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(HttpExchange exchange) {
    if (exchange.path().startsWith("/control/")) {
      handleControlRequest(exchange);
      return;
    }
    if (crashed) {
      exchange.resetConnection();
      return;
    }
    if (exchange.containsCallerKey()) {
      keyViolations++;
    }
    handleEngineRequest(exchange);
  }

  private void handleControlRequest(HttpExchange exchange) {
    if (exchange.path().equals("/control/record")) {
      exchange.respondOk(toRecord());
      return;
    }
    if (!exchange.path().equals("/control/faults")) {
      exchange.respondNotFound();
      return;
    }
    exchange.decodeBody(
        EngineFaults.class,
        faults -> {
          applyFaults(faults);
          exchange.respondOk("set");
        });
  }

  private void handleEngineRequest(HttpExchange exchange) {
    switch (exchange.path()) {
      case "/v1/completions", "/v1/chat/completions" -> handleCompletion(exchange);
      case "/v1/orders" ->
          exchange.decodeBody(OrderRequest.class, order -> handleOrder(exchange, order));
      case "/v1/load" ->
          exchange.respondOk(
              loadReports.laggedReport(StandinServer.nowMs(), faultState.loadReportLagMs()));
      case "/v1/cache-events" ->
          exchange.respondOk(cacheEventLog.page(exchange.queryNumber("from")));
      case "/v1/kv" -> exchange.decodeBody(KvBlock.class, block -> importKv(exchange, block));
      default -> exportKv(exchange);
    }
  }

  private void handleCompletion(HttpExchange exchange) {
    String text = exchange.bodyText();
    if (faultState.crashesOn(text) || crashCondition.get().test(text)) {
      enterCrashedState();
      exchange.resetConnection();
      return;
    }
    var parsedBody = CompletionBody.parse(exchange.body());
    parsedBody.failure().ifPresent(exchange::respondBadRequest);
    parsedBody
        .value()
        .ifPresent(request -> completionHandler.start(exchange, request, this::unavailableReason));
  }

  private Optional<String> unavailableReason() {
    return Optional.of("changing_role").filter(reason -> changingRole);
  }

  private void importKv(HttpExchange exchange, KvBlock block) {
    kvStore.add(block);
    cache.store(block.getPrefixes());
    exchange.respondOk("stored");
  }

  private void exportKv(HttpExchange exchange) {
    String prefix = "/v1/kv/";
    Optional<KvBlock> block =
        Optional.of(exchange.path())
            .filter(path -> path.startsWith(prefix))
            .flatMap(path -> kvStore.find(path.substring(prefix.length())));
    block.ifPresentOrElse(exchange::respondOk, exchange::respondNotFound);
  }

  private void handleOrder(HttpExchange exchange, OrderRequest request) {
    OrderAnswer response = orderHandler.receive(request, this::apply);
    recordLoad();
    if (faultState.consumeDroppedOrderResponse()) {
      exchange.resetConnection();
      return;
    }
    exchange.respondOk(response);
  }

  private boolean apply(EngineOrder order) {
    if (order instanceof ChangeRole change) {
      changeRole(change.getRole());
      return true;
    }
    if (order instanceof LoadModel load) {
      String model = load.getModel() + "@" + load.getVersion();
      server.executeAfterMs(spec.getLoadModelMs(), () -> finishModelLoad(model));
      return true;
    }
    if (order instanceof Drain) {
      leaving = true;
      return true;
    }
    return false;
  }

  private void finishModelLoad(String model) {
    models.add(model);
    recordLoad();
  }

  private void changeRole(EngineRole newRole) {
    changingRole = true;
    interruptedStreams += completionHandler.interruptAll();
    server.executeAfterMs(
        spec.getRoleChangeMs(),
        () -> {
          role = newRole;
          changingRole = false;
          recordLoad();
        });
  }

  private void applyFaults(EngineFaults faults) {
    faultState.update(faults);
    faults.getCacheEventLagMs().ifPresent(cacheEventLog::setLagMs);
    faults.getLoseCacheEvents().ifPresent(cacheEventLog::setDropInterval);
    leaving = faults.getLeaving().orElse(leaving);
    if (faults.getCrashed().orElse(crashed) != crashed) {
      if (crashed) {
        leaveCrashedState();
      } else {
        enterCrashedState();
      }
    }
    recordLoad();
  }

  private void enterCrashedState() {
    crashed = true;
    crashes++;
    changingRole = false;
    completionHandler.interruptAll();
    cache.clear();
    kvStore.clear();
    models.clear();
    models.addAll(spec.getModels());
    server.resetAllConnections();
    if (faultState.restartMs() > 0) {
      server.executeAfterMs(faultState.restartMs(), this::leaveCrashedState);
    }
  }

  private void leaveCrashedState() {
    crashed = false;
    recordLoad();
  }

  private void recordLoad() {
    int queuedRequests = batch.queued();
    int remainingPromptTokens = batch.remainingPromptTokens();
    int runningRequests = batch.running();
    int cachedTokens = cache.usedTokens();
    EngineRole currentRole = role;
    boolean isLeaving = leaving;
    List<String> currentModels = List.copyOf(models);
    long highestToken = orderHandler.highestToken();
    loadReports.add(
        ageMs ->
            new LoadReport(
                spec.getName(),
                ageMs,
                currentRole,
                queuedRequests,
                remainingPromptTokens,
                runningRequests,
                spec.getSlots(),
                cachedTokens,
                spec.getCacheTokens(),
                currentModels,
                isLeaving,
                highestToken),
        StandinServer.nowMs());
  }

  private EngineRecord toRecord() {
    return new EngineRecord(
        keyViolations,
        crashes,
        interruptedStreams,
        orderHandler.receivedOrders(),
        completionHandler.recordedRequests());
  }
}
