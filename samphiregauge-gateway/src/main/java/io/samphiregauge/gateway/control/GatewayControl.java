package io.samphiregauge.gateway.control;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.fleet.DomainTarget;
import io.samphiregauge.core.fleet.DomainTargets;
import io.samphiregauge.core.stream.ServiceVersion;
import io.samphiregauge.core.suspect.RequestTraits;
import io.samphiregauge.gateway.GatewayView;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.gateway.port.FleetApi;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreValueDecoder;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.gateway.CrashRecord;
import io.samphiregauge.schema.gateway.EntrySettings;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Runs the control thread of an entry: follows the store, performs the fleet duties and publishes a
 * {@link GatewayView} for traffic. All state belongs to the control thread; the public methods are
 * thread-safe.
 */
public final class GatewayControl implements AutoCloseable {
  private static final long MS_PER_S = 1_000;

  private static final RandomSource RANDOM = () -> ThreadLocalRandom.current().nextLong();

  private final ControlThread control = new ControlThread();

  private final ConfigFollower configFollower;
  private final BackendFollower backendFollower;
  private final GroupFollower groupFollower;
  private final CrashFollower crashFollower;
  private final CrashExchange crashExchange;
  private final ReaderExchange readerExchange;
  private final UsageExchange usageExchange;
  private final UsageRecorder usageRecorder;
  private final Optional<DutyWorker> dutyWorker;
  private final VersionRegistrar versionRegistrar;
  private final StreamOriginLog streamOrigins;
  private final Consumer<GatewayView> viewPublisher;
  private List<BackendServer> usableServers = List.of();
  private long usableServersVersion;

  /**
   * Starts the control thread, which does not access the store before {@link #start}.
   *
   * @param settings settings of the entry
   * @param self this entry
   * @param unwatchedStore calls to the store
   * @param valueDecoder decodes configurations and announcements
   * @param fleet calls that only the holder of the duty lease makes, if the platform offers them
   * @param viewPublisher receives each new view, on the control thread
   */
  public GatewayControl(
      EntrySettings settings,
      GroupMember self,
      SharedStore unwatchedStore,
      StoreValueDecoder valueDecoder,
      Optional<FleetApi> fleet,
      Consumer<GatewayView> viewPublisher) {
    StoreEraWatch storeEra = new StoreEraWatch(control);
    SharedStore store = storeEra.watch(unwatchedStore);
    this.viewPublisher = viewPublisher;
    this.configFollower =
        new ConfigFollower(
            control,
            store,
            valueDecoder,
            settings.getRevocationMs(),
            this::isQueried,
            this::publishView);
    this.groupFollower = new GroupFollower(control, store, self, this::onMembersChanged);
    this.versionRegistrar = createVersionRegistrar(store);
    this.streamOrigins = createStreamOrigins(store);
    storeEra.addListener(versionRegistrar::onStoreEra);
    storeEra.addListener(era -> streamOrigins.onStoreEra());
    this.backendFollower =
        new BackendFollower(
            control,
            store,
            valueDecoder,
            self,
            this::isQueried,
            settings.getDrainMs(),
            versionRegistrar::onServers,
            this::publishView);
    this.crashFollower =
        new CrashFollower(control, store, () -> groupFollower.members().size(), this::isQueried);
    this.crashExchange =
        new CrashExchange(control, store, self, groupFollower::members, RANDOM, this::publishView);
    this.readerExchange =
        new ReaderExchange(
            control,
            groupFollower,
            self,
            settings.getDrainMs(),
            new ReaderExchange.Followers(backendFollower, configFollower, crashFollower));
    this.usageExchange =
        new UsageExchange(control, store, groupFollower::reader, groupFollower::replaceReader);
    long windowMs = settings.getUsageWindowS() * MS_PER_S;
    this.usageRecorder =
        new UsageRecorder(
            control,
            usageExchange,
            self,
            windowMs,
            () -> groupFollower.members().size(),
            DualTimestamp::now);
    this.dutyWorker = fleet.map(api -> createDutyWorker(settings, self, store, api));
    dutyWorker.ifPresent(worker -> storeEra.addListener(worker::onStoreEra));
  }

  private VersionRegistrar createVersionRegistrar(SharedStore store) {
    return new VersionRegistrar(
        control,
        store,
        () -> groupFollower.rank() == 0,
        DualTimestamp::monotonicNowMs,
        this::onVersionsChanged);
  }

  private StreamOriginLog createStreamOrigins(SharedStore store) {
    return new StreamOriginLog(
        control,
        store,
        versionRegistrar,
        () -> groupFollower.members().size(),
        DualTimestamp::monotonicNowMs);
  }

  private DutyWorker createDutyWorker(
      EntrySettings settings, GroupMember self, SharedStore store, FleetApi api) {
    return new DutyWorker(
        control,
        store,
        api,
        groupFollower,
        usageRecorder,
        new FleetOrders(
            control,
            api,
            this::plannedTargets,
            this::countPresentServers,
            DualTimestamp::monotonicNowMs),
        self,
        new DutyWorker.DutyTiming(
            settings.getLeaseMs(),
            settings.getUsageWindowS() * MS_PER_S,
            settings.getUsageLateS() * MS_PER_S),
        DualTimestamp::now);
  }

  /**
   * Starts to follow the store and to perform duties.
   *
   * @param peerSender sends a message to the peer address of another entry
   */
  public void start(BiConsumer<String, PeerMessage> peerSender) {
    control.post(
        () -> {
          crashFollower.start(crashExchange::recordStored);
          configFollower.start();
          versionRegistrar.start();
          backendFollower.start();
          groupFollower.memberExchange().start(peerSender);
          usageExchange.start(peerSender);
          groupFollower.start();
          readerExchange.start(peerSender);
          crashExchange.start(peerSender);
          usageRecorder.start();
          dutyWorker.ifPresent(DutyWorker::start);
        });
  }

  /**
   * Handles a message from another entry. Thread-safe.
   *
   * @param from peer address of the sender
   * @param message the message
   */
  public void onPeerMessage(String from, PeerMessage message) {
    control.post(
        () -> {
          readerExchange.onPeerMessage(from, message);
          groupFollower.memberExchange().onPeerMessage(from, message);
          usageExchange.onPeerMessage(from, message);
          crashExchange.onPeerMessage(from, message);
        });
  }

  /**
   * Publishes to all entries that a backend server terminated while running requests. Thread-safe.
   *
   * @param crash the requests and their server
   */
  public void publishCrash(CrashRecord crash) {
    control.post(() -> crashExchange.publish(crash));
  }

  /**
   * Records that the response to a request began, so that its traits are not suspects. Thread-safe.
   *
   * @param traits traits of the request
   */
  public void recordCompletion(RequestTraits traits) {
    control.post(() -> crashExchange.recordCompletion(traits));
  }

  /**
   * Records that a request with a blocked trait is about to be sent as a trial. Thread-safe.
   *
   * @param trait the blocked trait
   */
  public void recordTrialStarted(String trait) {
    control.post(() -> crashExchange.recordTrialStarted(trait));
  }

  /**
   * Runs a task periodically on the control thread, for the first time after one period.
   * Thread-safe.
   *
   * @param periodMs time between two runs, in milliseconds
   * @param task the task; if it throws, the failure is logged and it runs again after a period
   */
  public void runPeriodically(long periodMs, Runnable task) {
    control.schedule(
        periodMs,
        () -> {
          runPeriodically(periodMs, task);
          task.run();
        });
  }

  /**
   * Counts a request that started to run. Thread-safe.
   *
   * @param team team to which the request is charged
   * @param startedAt time at which the request started to run
   */
  public void countRequest(String team, DualTimestamp startedAt) {
    control.post(
        () -> usageRecorder.count(team, DualTimestamp.monotonicNowMs() - startedAt.monotonicMs()));
  }

  /**
   * Records that a server sent the first event of a stream. Thread-safe.
   *
   * @param attemptId identifier of the caller's attempt that received it
   * @param origin service and software version of the server
   */
  public void recordStreamOrigin(String attemptId, ServiceVersion origin) {
    control.post(() -> streamOrigins.record(attemptId, origin));
  }

  /**
   * Finds the software version that began a stream. Thread-safe.
   *
   * @param service service to which the request is routed
   * @param attemptId attempt of the caller that received the first event
   * @param handler receives the version, or empty if it cannot be told, on the control thread
   */
  public void findStreamVersion(
      String service, String attemptId, Consumer<Optional<String>> handler) {
    control.post(() -> streamOrigins.find(service, attemptId, handler));
  }

  /** Leaves the group, stops performing duties and writes unwritten counts. Thread-safe. */
  public void leave() {
    control.post(
        () -> {
          groupFollower.leave();
          dutyWorker.ifPresent(DutyWorker::stop);
          usageRecorder.flushDirectly(() -> {});
        });
  }

  /**
   * Writes the usage counts that are not in the store yet. Thread-safe.
   *
   * @return completes when they are written, or the write has failed
   */
  public CompletableFuture<Void> flushUsage() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    control.post(() -> usageRecorder.flushDirectly(() -> done.complete(null)));
    return done;
  }

  @Override
  public void close() {
    control.close();
  }

  private boolean isQueried() {
    return readerExchange.isQueried();
  }

  private List<DomainTarget> plannedTargets() {
    return configFollower
        .config()
        .filter(config -> backendFollower.serversKnown())
        .map(DomainTargets::plan)
        .orElse(List.of());
  }

  private int countPresentServers(DomainTarget target) {
    return (int) backendFollower.servers().stream().filter(target::includes).count();
  }

  private void onMembersChanged() {
    dutyWorker.ifPresent(DutyWorker::onMembersChanged);
    publishView();
  }

  private void onVersionsChanged() {
    streamOrigins.onVersionsChanged();
    publishView();
  }

  private void publishView() {
    List<BackendServer> servers = versionRegistrar.usable(backendFollower.servers());
    if (!servers.equals(usableServers)) {
      usableServers = servers;
      usableServersVersion++;
    }
    viewPublisher.accept(
        new GatewayView(
            configFollower.config(),
            configFollower.configAsOf(),
            usableServers,
            usableServersVersion,
            groupFollower.members(),
            groupFollower.lease(),
            crashExchange.suspects()));
  }
}
