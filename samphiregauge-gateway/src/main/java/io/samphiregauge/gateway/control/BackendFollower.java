package io.samphiregauge.gateway.control;

import io.samphiregauge.core.backend.AnnouncementLog;
import io.samphiregauge.core.backend.BackendRegistry;
import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.backend.StoreReaders;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.StoreValueDecoder;
import io.samphiregauge.gateway.port.Topic;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.Announcement;
import io.samphiregauge.schema.peer.AnnouncementsQuery;
import io.samphiregauge.schema.peer.AnnouncementsReply;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Follows the announcements of backend servers: reads them from the store, or asks an entry of the
 * same failure domain that does. Runs on the control thread.
 */
final class BackendFollower {
  private static final Logger LOG = System.getLogger(BackendFollower.class.getName());

  /**
   * Part of the time for which a draining server may still get work after which the announcements
   * are read again. A read that waits would be ended by the next heartbeat, and each one is paid
   * for.
   */
  private static final double READ_PERIOD_SHARE = 0.42;

  /** The same for an entry that others ask, and for those that ask it: two periods add up. */
  private static final double QUERY_PERIOD_SHARE = 0.2;

  /** Part of that time after which an entry whose neighbours do not answer reads the store. */
  private static final double MAX_AGE_SHARE = 0.5;

  /**
   * Part of that time for which a server stays usable whose announcement is gone. The removal is
   * seen up to one read late, and a request needs time to reach the server.
   */
  private static final double LAPSE_GRACE_SHARE = 0.25;

  /** Entries that ask fall silent for longer than this only when they have left. */
  private static final long QUERIED_TIMEOUT_MS = 3_000;

  private final ControlThread control;
  private final StoreValueDecoder valueDecoder;
  private final GroupFollower group;
  private final GroupMember self;
  private final long drainMs;
  private final Runnable onChange;
  private final BackendRegistry registry;
  private final AnnouncementLog announcementLog = new AnnouncementLog();
  private final TopicFollower storeFollower;
  private BiConsumer<String, PeerMessage> peerSender = (address, message) -> {};
  private List<BackendServer> servers = List.of();
  private long serversVersion;
  private boolean serversKnown;
  private boolean followsStore;
  private DualTimestamp asOf = DualTimestamp.NEVER;
  private DualTimestamp lastQueriedAt = DualTimestamp.NEVER;
  private PeerQuery lastQuery = new PeerQuery(0, DualTimestamp.NEVER, true);

  /** Process whose changes are followed; empty while the store is read. */
  private String followedProcess = "";

  private long followedVersion;

  /** A question to a neighbour. */
  private record PeerQuery(long number, DualTimestamp sentAt, boolean answered) {}

  /**
   * Prepares to follow.
   *
   * @param control the control thread
   * @param store the store
   * @param valueDecoder decodes announcements
   * @param group knows the other entries
   * @param self this entry
   * @param drainMs time for which a leaving server may still get work
   * @param onChange runs when there is something to publish
   */
  BackendFollower(
      ControlThread control,
      SharedStore store,
      StoreValueDecoder valueDecoder,
      GroupFollower group,
      GroupMember self,
      long drainMs,
      Runnable onChange) {
    this.control = control;
    this.valueDecoder = valueDecoder;
    this.group = group;
    this.self = self;
    this.drainMs = drainMs;
    this.onChange = onChange;
    this.registry = new BackendRegistry((long) (drainMs * LAPSE_GRACE_SHARE));
    this.storeFollower =
        new TopicFollower(
            control,
            store,
            Topic.BACKENDS,
            new TopicFollower.PollTiming(0, this::storeReadPeriodMs),
            this::applySnapshot,
            this::take);
  }

  /**
   * Starts to follow.
   *
   * @param sender sends a message to the peer address of another entry
   */
  void start(BiConsumer<String, PeerMessage> sender) {
    peerSender = sender;
    followStore();
    control.schedule(queryPeriodMs(), this::queryOrReadStore);
  }

  List<BackendServer> servers() {
    return servers;
  }

  long serversVersion() {
    return serversVersion;
  }

  boolean serversKnown() {
    return serversKnown;
  }

  private long storeReadPeriodMs() {
    boolean queried = DualTimestamp.now().millisSince(lastQueriedAt) < QUERIED_TIMEOUT_MS;
    return (long) (drainMs * (queried ? QUERY_PERIOD_SHARE : READ_PERIOD_SHARE));
  }

  private long queryPeriodMs() {
    return (long) (drainMs * QUERY_PERIOD_SHARE);
  }

  private boolean isStale(DualTimestamp timestamp) {
    return DualTimestamp.now().millisSince(timestamp) > drainMs * MAX_AGE_SHARE;
  }

  private void queryOrReadStore() {
    control.schedule(queryPeriodMs(), this::queryOrReadStore);
    List<GroupMember> neighbours =
        group.members().stream().filter(m -> m.domain().equals(self.domain())).toList();
    // The next reader is asked where the last one did not answer.
    long number = lastQuery.number() + (lastQuery.answered() ? 2 : 1);
    Optional<GroupMember> target =
        StoreReaders.readerFor(neighbours.stream().map(GroupMember::vm).toList(), self.vm(), number)
            .flatMap(vm -> neighbours.stream().filter(m -> m.vm().equals(vm)).findFirst());
    if (target.isEmpty() || isStale(asOf)) {
      followStore();
    }
    target.ifPresent(
        neighbour -> {
          lastQuery = new PeerQuery(number, DualTimestamp.now(), false);
          peerSender.accept(
              neighbour.peerAddress(),
              new AnnouncementsQuery(number, followedProcess, followedVersion));
        });
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
   * Takes a message of another entry.
   *
   * @param from peer address of the sender
   * @param message the message; others than those about announcements are ignored
   */
  void onPeerMessage(String from, PeerMessage message) {
    if (message instanceof AnnouncementsQuery query) {
      lastQueriedAt = DualTimestamp.now();
      peerSender.accept(from, createReply(query));
    } else if (message instanceof AnnouncementsReply reply) {
      take(reply);
    }
  }

  private AnnouncementsReply createReply(AnnouncementsQuery query) {
    long version = query.getSource().equals(processId()) ? query.getVersion() : 0;
    AnnouncementLog.Changes changes = announcementLog.since(version);
    return new AnnouncementsReply(
        query.getNumber(),
        processId(),
        announcementLog.version(),
        DualTimestamp.now().millisSince(asOf),
        changes.snapshot(),
        changes.updates().stream()
            .map(entry -> new Announcement(entry.key(), entry.value().orElse(null)))
            .toList());
  }

  /** An answer counts from before its question, since it may have lain in a socket for long. */
  private void take(AnnouncementsReply reply) {
    DualTimestamp told = lastQuery.sentAt().minusMs(reply.getAgeMs());
    boolean expected = reply.getNumber() == lastQuery.number() && !lastQuery.answered();
    if (!expected || isStale(told) || told.monotonicMs() < asOf.monotonicMs()) {
      return;
    }
    lastQuery = new PeerQuery(lastQuery.number(), lastQuery.sentAt(), true);
    followNeighbour(reply.getSource());
    followedProcess = reply.getSource();
    followedVersion = reply.getVersion();
    List<StoreRecord> records =
        reply.getAnnouncements().stream().map(BackendFollower::toRecord).toList();
    if (reply.isWhole()) {
      applySnapshot(records, told);
    } else {
      take(records, told);
    }
  }

  private static StoreRecord toRecord(Announcement announcement) {
    return new StoreRecord(
        announcement.getKey(), announcement.getValue().map(Base64.getDecoder()::decode));
  }

  private String processId() {
    return self.vm() + "@" + self.boot();
  }

  private void applySnapshot(List<StoreRecord> records, DualTimestamp requestedAt) {
    Map<String, BackendServer> servers = new HashMap<>();
    Map<String, StoreRecord> recordsByKey = new HashMap<>();
    for (StoreRecord record : records) {
      recordsByKey.put(record.key(), record);
      decode(record).ifPresent(server -> servers.put(record.key(), server));
    }
    List<String> changedKeys = registry.replaceAll(servers, requestedAt.monotonicMs());
    changedKeys.forEach(
        key ->
            announcementLog.put(
                key,
                Optional.ofNullable(recordsByKey.get(key))
                    .filter(record -> servers.containsKey(key))
                    .flatMap(BackendFollower::encodeValue)));
    serversKnown = true;
    asOf = requestedAt;
    publishIfChanged(!changedKeys.isEmpty());
  }

  private void take(List<StoreRecord> records, DualTimestamp requestedAt) {
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
            atMs ->
                control.schedule(
                    Math.max(0, atMs - DualTimestamp.monotonicNowMs()),
                    () -> publishIfChanged(registry.expire(DualTimestamp.monotonicNowMs()))));
    List<BackendServer> next = registry.usable();
    if (!next.equals(servers)) {
      logChangedServers(servers, next);
      servers = next;
      serversVersion++;
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

  /** A key whose record is removed or cannot be used names no server. */
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
