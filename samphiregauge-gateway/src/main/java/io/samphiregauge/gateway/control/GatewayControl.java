package io.samphiregauge.gateway.control;

import io.samphiregauge.core.fleet.DomainTarget;
import io.samphiregauge.core.fleet.DomainTargets;
import io.samphiregauge.gateway.GatewayView;
import io.samphiregauge.gateway.Member;
import io.samphiregauge.gateway.Moment;
import io.samphiregauge.gateway.port.FleetApi;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.SiteReader;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.Topic;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.gateway.CrashRecord;
import io.samphiregauge.schema.gateway.EntrySettings;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Everything that the control thread does, and the view that it publishes. */
public final class GatewayControl implements AutoCloseable {
  private static final long MS_PER_S = 1_000;

  private static final Logger LOG = System.getLogger(GatewayControl.class.getName());

  private final ControlThread control = new ControlThread();

  private final SharedStore store;
  private final ConfigFollower configs;
  private final BackendFollower backends;
  private final GroupFollower group;
  private final UsageCounter usage;
  private final Optional<DutyWorker> duties;
  private final Consumer<GatewayView> publisher;

  /**
   * Prepares the control side.
   *
   * @param settings settings of the entry
   * @param self this entry
   * @param store calls to the store
   * @param reader decodes what operators and backend servers write
   * @param fleet calls that only the holder of the duty lease makes, if the platform takes them
   * @param publisher takes each new view, on the control thread
   */
  public GatewayControl(
      EntrySettings settings,
      Member self,
      SharedStore store,
      SiteReader reader,
      Optional<FleetApi> fleet,
      Consumer<GatewayView> publisher) {
    this.publisher = publisher;
    this.store = store;
    this.configs =
        new ConfigFollower(control, store, reader, settings.getRevocationMs(), this::publish);
    this.group = new GroupFollower(control, store, self, this::publish);
    this.backends =
        new BackendFollower(
            control, store, reader, group, self, settings.getDrainMs(), this::publish);
    long windowMs = settings.getUsageWindowS() * MS_PER_S;
    this.usage = new UsageCounter(control, store, self, windowMs, () -> group.members().size());
    this.duties =
        fleet.map(
            api ->
                new DutyWorker(
                    control,
                    store,
                    api,
                    group,
                    usage,
                    new FleetOrders(control, api, this::targets, this::present),
                    self,
                    new DutyWorker.DutyTimes(
                        settings.getLeaseMs(), windowMs, settings.getUsageLateS() * MS_PER_S)));
  }

  /**
   * Starts to follow the store.
   *
   * @param crashes takes each crash that another entry has published
   * @param peers sends a message to the peer address of another entry
   */
  public void start(Consumer<CrashRecord> crashes, BiConsumer<String, PeerMessage> peers) {
    control.post(
        () -> {
          new CrashFollower(control, store, () -> group.members().size(), crashes).start();
          configs.start();
          backends.start(peers);
          group.start();
          usage.start();
          duties.ifPresent(DutyWorker::start);
        });
  }

  /**
   * Takes a message of another entry; safe for all threads.
   *
   * @param from peer address of the sender
   * @param message the message
   */
  public void received(String from, PeerMessage message) {
    control.post(() -> backends.received(from, message));
  }

  /**
   * Tells the other entries of a request whose server ended; safe for all threads.
   *
   * @param crash the request and its server
   */
  public void crashed(CrashRecord crash) {
    StoreRecord entry = new StoreRecord("", Optional.of(Codec.json().encode(crash)));
    control.take(
        store.append().append(Topic.CRASHES, entry, OptionalLong.empty()),
        result ->
            LOG.log(
                Level.INFO,
                "event=crash_published backend={0} fingerprint={1} ok={2}",
                crash.getBackend(),
                crash.getFingerprint(),
                Boolean.toString(result.value().isPresent())));
  }

  /**
   * Runs a task from time to time on the control thread.
   *
   * @param periodMs time between two runs, in milliseconds
   * @param task the task
   */
  public void every(long periodMs, Runnable task) {
    control.after(
        periodMs,
        () -> {
          task.run();
          every(periodMs, task);
        });
  }

  /**
   * Counts a request that began to run; safe for all threads.
   *
   * @param team team that is charged
   * @param began when it began
   */
  public void count(String team, Moment began) {
    control.post(() -> usage.count(team, Moment.nowMs() - began.monotonicMs()));
  }

  /** Leaves the group, gives up the duties and writes the last counts; safe for all threads. */
  public void leave() {
    control.post(
        () -> {
          group.leave();
          duties.ifPresent(DutyWorker::stop);
          usage.flush();
        });
  }

  /** Writes the counts that are not in the store yet; safe for all threads. */
  public void flush() {
    control.post(usage::flush);
  }

  @Override
  public void close() {
    control.close();
  }

  private List<DomainTarget> targets() {
    return configs
        .config()
        .filter(config -> backends.serversKnown())
        .map(DomainTargets::plan)
        .orElse(List.of());
  }

  private int present(DomainTarget target) {
    return (int) backends.servers().stream().filter(target::includes).count();
  }

  private void publish() {
    publisher.accept(
        new GatewayView(
            configs.config(),
            configs.configAsOf(),
            backends.servers(),
            backends.serversVersion(),
            group.members()));
  }
}
