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
 * Stand-in of a model engine: batches continuously, caches prefixes, takes orders and fails on
 * command. It counts requests that carry a caller's key instead of failing on them.
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
  private final CacheEvents cacheEvents = new CacheEvents(StandinServer::nowMs);
  private final PrefixCache cache;
  private final Batch batch;
  private final KvStore kv;
  private final Completions completions;
  private final EngineOrders orders;
  private final EngineSwitches switches = new EngineSwitches();
  private final LoadReports reports = new LoadReports();
  private final Set<String> models;
  private final AtomicReference<Predicate<String>> crashWhen = new AtomicReference<>(body -> false);
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
    this.cache = new PrefixCache(spec.getCacheTokens(), cacheEvents::add);
    this.kv = new KvStore(spec.getName());
    this.orders = new EngineOrders(spec.isChecksFencing());
    this.server = StandinServer.start("engine", loops, address, this::handle);
    this.batch = new Batch(spec, server::runAfterUs, cache);
    this.completions = new Completions(batch, kv, server::run, this::keepReport);
    server.run(this::keepReport);
  }

  /**
   * Starts the stand-in with a shape that suits most tests.
   *
   * @param loops event loops; one of them will own the state
   * @param address address to bind
   * @param tokenIntervalMs time between two tokens of a stream
   * @return the running stand-in
   */
  public static EngineStandin start(EventLoopGroup loops, Address address, int tokenIntervalMs) {
    return start(loops, address, spec("engine", tokenIntervalMs));
  }

  /**
   * Starts the stand-in.
   *
   * @param loops event loops; one of them will own the state
   * @param address address to bind
   * @param spec shape of the engine
   * @return the running stand-in
   */
  public static EngineStandin start(EventLoopGroup loops, Address address, EngineSpec spec) {
    return new EngineStandin(loops, address, spec);
  }

  /**
   * Returns a shape that suits most tests: a large batch, fast prefill, fencing checked.
   *
   * @param name name of the engine
   * @param tokenIntervalMs time between two tokens of a stream
   * @return the shape
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

  /** Returns the address that entries use. */
  public Address address() {
    return server.address();
  }

  /**
   * Sets faults; they are in force when the method returns.
   *
   * @param faults the faults
   */
  public void set(EngineFaults faults) {
    server.ask(
        () -> {
          switchOver(faults);
          return true;
        });
  }

  /**
   * Sets the function that decides which requests crash the engine.
   *
   * @param body tells by the body of a request
   */
  public void crashWhen(Predicate<String> body) {
    crashWhen.set(body);
  }

  /** Crashes the engine; it stays down until {@link #restart} or the set time. */
  public void crash() {
    server.ask(
        () -> {
          goDown();
          return true;
        });
  }

  /** Brings a crashed engine up again, with an empty cache. */
  public void restart() {
    server.ask(
        () -> {
          comeUp();
          return true;
        });
  }

  /**
   * Returns what the engine has seen.
   *
   * @return orders, requests and violations
   */
  public EngineRecord record() {
    return server.ask(this::toRecord);
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(Call call) {
    if (call.path().startsWith("/control/")) {
      control(call);
      return;
    }
    if (crashed) {
      call.sever();
      return;
    }
    if (call.hasKey()) {
      keyViolations++;
    }
    serve(call);
  }

  private void control(Call call) {
    if (call.path().equals("/control/record")) {
      call.ok(toRecord());
      return;
    }
    if (!call.path().equals("/control/faults")) {
      call.notFound();
      return;
    }
    call.decode(
        EngineFaults.class,
        faults -> {
          switchOver(faults);
          call.ok("set");
        });
  }

  private void serve(Call call) {
    switch (call.path()) {
      case "/v1/completions", "/v1/chat/completions" -> complete(call);
      case "/v1/orders" -> call.decode(OrderRequest.class, order -> receive(call, order));
      case "/v1/load" -> call.ok(reports.answer(StandinServer.nowMs(), switches.loadReportLagMs()));
      case "/v1/cache-events" -> call.ok(cacheEvents.page(call.number("from")));
      case "/v1/kv" -> call.decode(KvBlock.class, block -> importKv(call, block));
      default -> exportKv(call);
    }
  }

  private void complete(Call call) {
    String text = call.text();
    if (switches.crashesOn(text) || crashWhen.get().test(text)) {
      goDown();
      call.sever();
      return;
    }
    var body = CompletionBody.parse(call.body());
    body.failure().ifPresent(call::refuse);
    body.value().ifPresent(request -> completions.start(call, request, this::unavailable));
  }

  private Optional<String> unavailable() {
    return Optional.of("changing_role").filter(reason -> changingRole);
  }

  private void importKv(Call call, KvBlock block) {
    kv.add(block);
    cache.store(block.getPrefixes());
    call.ok("stored");
  }

  private void exportKv(Call call) {
    String prefix = "/v1/kv/";
    Optional<KvBlock> block =
        Optional.of(call.path())
            .filter(path -> path.startsWith(prefix))
            .flatMap(path -> kv.find(path.substring(prefix.length())));
    block.ifPresentOrElse(call::ok, call::notFound);
  }

  private void receive(Call call, OrderRequest request) {
    OrderAnswer answer = orders.receive(request, this::apply);
    keepReport();
    if (switches.takeLostOrderAnswer()) {
      call.sever();
      return;
    }
    call.ok(answer);
  }

  private boolean apply(EngineOrder order) {
    if (order instanceof ChangeRole change) {
      changeRole(change.getRole());
      return true;
    }
    if (order instanceof LoadModel load) {
      String model = load.getModel() + "@" + load.getVersion();
      server.runAfterMs(spec.getLoadModelMs(), () -> finishLoad(model));
      return true;
    }
    if (order instanceof Drain) {
      leaving = true;
      return true;
    }
    return false;
  }

  private void finishLoad(String model) {
    models.add(model);
    keepReport();
  }

  private void changeRole(EngineRole next) {
    changingRole = true;
    interruptedStreams += completions.interruptAll();
    server.runAfterMs(
        spec.getRoleChangeMs(),
        () -> {
          role = next;
          changingRole = false;
          keepReport();
        });
  }

  private void switchOver(EngineFaults faults) {
    switches.set(faults);
    faults.getCacheEventLagMs().ifPresent(cacheEvents::setLagMs);
    faults.getLoseCacheEvents().ifPresent(cacheEvents::setLoseEach);
    leaving = faults.getLeaving().orElse(leaving);
    if (faults.getCrashed().orElse(crashed) != crashed) {
      if (crashed) {
        comeUp();
      } else {
        goDown();
      }
    }
    keepReport();
  }

  private void goDown() {
    crashed = true;
    crashes++;
    changingRole = false;
    completions.interruptAll();
    cache.clear();
    kv.clear();
    models.clear();
    models.addAll(spec.getModels());
    server.severAll();
    if (switches.restartMs() > 0) {
      server.runAfterMs(switches.restartMs(), this::comeUp);
    }
  }

  private void comeUp() {
    crashed = false;
    keepReport();
  }

  private void keepReport() {
    int queued = batch.queued();
    int promptTokens = batch.queuedPromptTokens();
    int running = batch.running();
    int cachedTokens = cache.usedTokens();
    EngineRole roleNow = role;
    boolean leavingNow = leaving;
    List<String> modelsNow = List.copyOf(models);
    long token = orders.highestToken();
    reports.keep(
        ageMs ->
            new LoadReport(
                spec.getName(),
                ageMs,
                roleNow,
                queued,
                promptTokens,
                running,
                spec.getSlots(),
                cachedTokens,
                spec.getCacheTokens(),
                modelsNow,
                leavingNow,
                token),
        StandinServer.nowMs());
  }

  private EngineRecord toRecord() {
    return new EngineRecord(
        keyViolations, crashes, interruptedStreams, orders.received(), completions.received());
  }
}
