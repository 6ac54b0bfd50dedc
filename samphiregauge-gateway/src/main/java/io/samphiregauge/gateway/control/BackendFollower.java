package io.samphiregauge.gateway.control;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.backend.AnnouncementLog;
import io.samphiregauge.core.backend.BackendRegistry;
import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.StoreValueDecoder;
import io.samphiregauge.gateway.port.Topic;
import io.samphiregauge.schema.peer.Announcement;
import io.samphiregauge.schema.peer.ReaderReply;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Follows the announcements of backend servers and maintains the list of usable servers. Reads the
 * announcements from the store, or takes them from the replies of an entry that reads them. Runs on
 * the control thread.
 */
final class BackendFollower {
  private static final Logger LOG = System.getLogger(BackendFollower.class.getName());

  /**
   * Interval between two reads of the store, as a fraction of {@code drainMs}. Long polling has no
   * advantage, because the next heartbeat of any server would complete the read, and each read is
   * charged.
   */
  private static final double READ_PERIOD_SHARE = 0.42;

  /**
   * Interval between two reads of an entry that other entries query, as a fraction of {@code
   * drainMs}. It is shorter, because the delays of the read and of the query add up.
   */
  private static final double QUERIED_READ_PERIOD_SHARE = 0.2;

  /**
   * Age of the known announcements, as a fraction of {@code drainMs}, at which an entry whose
   * neighbours do not respond reads the store. Replies with older announcements are ignored.
   */
  private static final double MAX_AGE_SHARE = 0.5;

  /**
   * Time for which a server stays usable after its announcement was removed, as a fraction of
   * {@code drainMs}. The rest of that time is needed because the removal is detected up to one read
   * interval late and a request takes time to reach the server.
   */
  private static final double LAPSE_GRACE_SHARE = 0.25;

  private final ControlThread control;
  private final StoreValueDecoder valueDecoder;
  private final String processId;
  private final BooleanSupplier queried;
  private final long drainMs;
  private final Consumer<List<BackendServer>> knownServersHandler;
  private final Runnable onChange;
  private final BackendRegistry registry;
  private final AnnouncementLog announcementLog = new AnnouncementLog();
  private final TopicFollower storeFollower;
  private List<BackendServer> servers = List.of();
  private boolean serversKnown;
  private boolean followsStore;

  /** Time as of which the announcements are known. */
  private DualTimestamp asOf = DualTimestamp.NEVER;

  /** Process whose replies are applied; empty while the store is read. */
  private String followedProcess = "";

  /** Version of the announcement log of that process up to which its changes are known. */
  private long followedVersion;

  /**
   * What has changed in the announcements, for another entry.
   *
   * @param source process that sends the changes
   * @param version version that the receiver has after it applies them
   * @param asOf time as of which the announcements are known
   * @param whole whether these are all announcements instead of only the changed ones
   * @param announcements the announcements
   */
  record Changes(
      String source,
      long version,
      DualTimestamp asOf,
      boolean whole,
      List<Announcement> announcements) {}

  /**
   * Creates a follower that does not read or query before {@link #start}.
   *
   * @param control the control thread
   * @param store the store
   * @param valueDecoder decodes announcements
   * @param self this entry
   * @param queried returns whether other entries query this one
   * @param drainMs time for which a draining server may still receive requests, in milliseconds
   * @param knownServersHandler receives all servers that may still run requests after each change
   *     of one of them, before {@code onChange} is called
   * @param onChange called when the usable servers have changed
   */
  BackendFollower(
      ControlThread control,
      SharedStore store,
      StoreValueDecoder valueDecoder,
      GroupMember self,
      BooleanSupplier queried,
      long drainMs,
      Consumer<List<BackendServer>> knownServersHandler,
      Runnable onChange) {
    this.control = control;
    this.valueDecoder = valueDecoder;
    this.processId = self.vm() + "@" + self.startMs();
    this.queried = queried;
    this.drainMs = drainMs;
    this.knownServersHandler = knownServersHandler;
    this.onChange = onChange;
    this.registry = new BackendRegistry((long) (drainMs * LAPSE_GRACE_SHARE));
    this.storeFollower =
        new TopicFollower(
            control,
            store,
            Topic.BACKENDS,
            new TopicFollower.PollTiming(() -> 0, this::storeReadPeriodMs),
            this::applySnapshot,
            this::applyChanges);
  }

  /** Starts to read the store. */
  void start() {
    followStore();
  }

  /** Returns the process whose replies are applied; empty while the store is read. */
  String followedProcess() {
    return followedProcess;
  }

  /** Returns the version of that process up to which its changes are known. */
  long followedVersion() {
    return followedVersion;
  }

  List<BackendServer> servers() {
    return servers;
  }

  /** Returns whether all announcements have been read at least once. */
  boolean serversKnown() {
    return serversKnown;
  }

  private long storeReadPeriodMs() {
    return (long)
        (drainMs * (queried.getAsBoolean() ? QUERIED_READ_PERIOD_SHARE : READ_PERIOD_SHARE));
  }

  private boolean isStale(DualTimestamp timestamp) {
    return DualTimestamp.now().millisSince(timestamp) > drainMs * MAX_AGE_SHARE;
  }

  /**
   * Reads the store if no reader can be queried or its last reply is too old.
   *
   * @param hasReader whether another entry reads the store for this one
   */
  void readStoreIfNeeded(boolean hasReader) {
    if (!hasReader || isStale(asOf)) {
      followStore();
    }
  }

  private void followStore() {
    if (!followsStore) {
      followsStore = true;
      followedProcess = "";
      LOG.log(Level.INFO, "event=announcements_from_store");
      storeFollower.start();
    }
  }

  private void followNeighbour(String from) {
    if (followsStore) {
      followsStore = false;
      LOG.log(Level.INFO, "event=announcements_from_neighbour process={0}", from);
      storeFollower.stop();
    }
  }

  /**
   * Returns the changes for another entry.
   *
   * @param source process to which the version refers
   * @param version newest version that the other entry knows
   */
  Changes changesSince(String source, long version) {
    AnnouncementLog.Changes changes = announcementLog.since(source.equals(processId) ? version : 0);
    return new Changes(
        processId,
        announcementLog.version(),
        asOf,
        changes.snapshot(),
        changes.updates().stream()
            .map(update -> new Announcement(update.key(), update.value().orElse(null)))
            .toList());
  }

  /**
   * Applies the announcements in the reply of a reader, unless they are older than the known ones.
   *
   * @param reply the reply
   * @param replyAsOf time as of which its announcements are known
   * @return whether they were applied
   */
  boolean applyReply(ReaderReply reply, DualTimestamp replyAsOf) {
    if (isStale(replyAsOf) || replyAsOf.monotonicMs() < asOf.monotonicMs()) {
      return false;
    }
    followNeighbour(reply.getSource());
    followedProcess = reply.getSource();
    followedVersion = reply.getVersion();
    List<StoreRecord> records =
        reply.getAnnouncements().stream().map(BackendFollower::toRecord).toList();
    if (reply.isWhole()) {
      applySnapshot(records, replyAsOf);
    } else {
      applyChanges(records, replyAsOf);
    }
    return true;
  }

  private static StoreRecord toRecord(Announcement announcement) {
    return new StoreRecord(
        announcement.getKey(), announcement.getValue().map(Base64.getDecoder()::decode));
  }

  private void applySnapshot(List<StoreRecord> records, DualTimestamp requestedAt) {
    Map<String, BackendServer> decodedServers = new HashMap<>();
    Map<String, StoreRecord> recordsByKey = new HashMap<>();
    for (StoreRecord record : records) {
      recordsByKey.put(record.key(), record);
      decode(record).ifPresent(server -> decodedServers.put(record.key(), server));
    }
    List<String> changedKeys = registry.replaceAll(decodedServers, requestedAt.monotonicMs());
    changedKeys.forEach(
        key ->
            announcementLog.put(
                key,
                Optional.ofNullable(recordsByKey.get(key))
                    .filter(record -> decodedServers.containsKey(key))
                    .flatMap(BackendFollower::encodeValue)));
    serversKnown = true;
    asOf = requestedAt;
    publishIfChanged(!changedKeys.isEmpty());
  }

  private void applyChanges(List<StoreRecord> records, DualTimestamp requestedAt) {
    boolean serversChanged = false;
    for (StoreRecord record : records) {
      Optional<BackendServer> server = decode(record);
      if (registry.update(record.key(), server, requestedAt.monotonicMs())) {
        serversChanged = true;
        announcementLog.put(record.key(), server.flatMap(usable -> encodeValue(record)));
      }
    }
    asOf = requestedAt;
    publishIfChanged(serversChanged);
  }

  private static Optional<String> encodeValue(StoreRecord record) {
    return record.value().map(Base64.getEncoder()::encodeToString);
  }

  private void publishIfChanged(boolean serversChanged) {
    if (!serversChanged) {
      return;
    }
    registry
        .nextExpiryMs()
        .ifPresent(
            expiryMs ->
                control.schedule(
                    Math.max(0, expiryMs - DualTimestamp.monotonicNowMs()),
                    () -> publishIfChanged(registry.expire(DualTimestamp.monotonicNowMs()))));
    knownServersHandler.accept(registry.known());
    List<BackendServer> next = registry.usable();
    if (!next.equals(servers)) {
      logChangedServers(servers, next);
      servers = next;
      onChange.run();
    }
  }

  private static void logChangedServers(List<BackendServer> previous, List<BackendServer> next) {
    next.stream()
        .filter(server -> !previous.contains(server))
        .forEach(server -> logServer("backend_usable", server));
    previous.stream()
        .filter(server -> !next.contains(server))
        .forEach(server -> logServer("backend_unusable", server));
  }

  private static void logServer(String event, BackendServer server) {
    LOG.log(
        Level.INFO,
        "event={0} backend={1} service={2} address={3} domain={4} stage={5}",
        event,
        server.incarnation(),
        server.service(),
        server.address(),
        server.domain(),
        server.stage().map(Enum::name).orElse("-"));
  }

  /** Returns the announced server, or empty if the record was removed or cannot be decoded. */
  private Optional<BackendServer> decode(StoreRecord record) {
    return record
        .value()
        .flatMap(
            bytes -> {
              Result<BackendServer> decoded =
                  valueDecoder.announcementDecoder().apply(record.key(), bytes);
              decoded
                  .failure()
                  .ifPresent(
                      failure ->
                          LOG.log(
                              Level.WARNING,
                              "event=backend_unreadable key={0} cause={1} {2}",
                              record.key(),
                              failure.type(),
                              failure.message()));
              return decoded.value();
            });
  }
}
