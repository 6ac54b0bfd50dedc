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
 * Follows the announcements of backend servers and maintains the list of usable servers. Reads the
 * announcements from the store, or queries an entry of the same failure domain that reads them.
 * Runs on the control thread.
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
   * Interval between two queries to a neighbour, and between two store reads of an entry that is
   * queried, as a fraction of {@code drainMs}. It is shorter than the interval of an entry that is
   * not queried, because the delays of the read and of the query add up.
   */
  private static final double QUERY_PERIOD_SHARE = 0.2;

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

  /**
   * Time after the last query for which this entry counts as queried. Querying entries pause for
   * longer than this only when they have left the group.
   */
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

  /** Time as of which the announcements are known. */
  private DualTimestamp asOf = DualTimestamp.NEVER;

  private DualTimestamp lastQueriedAt = DualTimestamp.NEVER;
  private PeerQuery lastQuery = new PeerQuery(0, DualTimestamp.NEVER, true);

  /** Process whose replies are applied; empty while the store is read. */
  private String followedProcess = "";

  /** Version of the announcement log of that process up to which its changes are known. */
  private long followedVersion;

  /** A query that was sent to a neighbour. */
  private record PeerQuery(long number, DualTimestamp sentAt, boolean answered) {}

  /**
   * Creates a follower that does not read or query before {@link #start}.
   *
   * @param control the control thread
   * @param store the store
   * @param valueDecoder decodes announcements
   * @param group provides the other entries of the group
   * @param self this entry
   * @param drainMs time for which a draining server may still receive requests, in milliseconds
   * @param onChange called when the usable servers have changed
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
            this::applyChanges);
  }

  /**
   * Starts to read the store and to query neighbours.
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

  /** Returns whether all announcements have been read at least once. */
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
    // If the last query got no reply, an odd step selects the other one of the two readers.
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
   * Handles a message from another entry.
   *
   * @param from peer address of the sender
   * @param message the message; ignored unless it is a query or reply about announcements
   */
  void onPeerMessage(String from, PeerMessage message) {
    if (message instanceof AnnouncementsQuery query) {
      lastQueriedAt = DualTimestamp.now();
      peerSender.accept(from, createReply(query));
    } else if (message instanceof AnnouncementsReply reply) {
      onReply(reply);
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
            .map(update -> new Announcement(update.key(), update.value().orElse(null)))
            .toList());
  }

  /**
   * Applies a reply to the last query. The age in the reply is counted back from the time at which
   * the query was sent, because the reply may have waited in a socket buffer for long.
   */
  private void onReply(AnnouncementsReply reply) {
    DualTimestamp replyAsOf = lastQuery.sentAt().minusMs(reply.getAgeMs());
    boolean expected = reply.getNumber() == lastQuery.number() && !lastQuery.answered();
    if (!expected || isStale(replyAsOf) || replyAsOf.monotonicMs() < asOf.monotonicMs()) {
      return;
    }
    lastQuery = new PeerQuery(lastQuery.number(), lastQuery.sentAt(), true);
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
  }

  private static StoreRecord toRecord(Announcement announcement) {
    return new StoreRecord(
        announcement.getKey(), announcement.getValue().map(Base64.getDecoder()::decode));
  }

  private String processId() {
    return self.vm() + "@" + self.startMs();
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
