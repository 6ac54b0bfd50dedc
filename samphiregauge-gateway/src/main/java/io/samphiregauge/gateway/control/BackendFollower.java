package io.samphiregauge.gateway.control;

import io.samphiregauge.core.backend.AnnouncementLog;
import io.samphiregauge.core.backend.BackendRegistry;
import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.backend.StoreReaders;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.Member;
import io.samphiregauge.gateway.Moment;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.SiteReader;
import io.samphiregauge.gateway.port.StoreRecord;
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
  private static final double READ_SHARE = 0.42;

  /** The same for an entry that others ask, and for those that ask it: two periods add up. */
  private static final double ASK_SHARE = 0.2;

  /** Part of that time after which an entry whose neighbours do not answer reads the store. */
  private static final double MAX_AGE_SHARE = 0.5;

  /**
   * Part of that time for which a server stays usable whose announcement is gone. The removal is
   * seen up to one read late, and a request needs time to reach the server.
   */
  private static final double LAPSE_SHARE = 0.25;

  /** Entries that ask fall silent for longer than this only when they have left. */
  private static final long ASKED_MS = 3_000;

  private final ControlThread control;
  private final SiteReader reader;
  private final GroupFollower group;
  private final Member self;
  private final long drainMs;
  private final Runnable changed;
  private final BackendRegistry book;
  private final AnnouncementLog board = new AnnouncementLog();
  private final TopicFollower store;
  private BiConsumer<String, PeerMessage> peers = (address, message) -> {};
  private List<BackendServer> servers = List.of();
  private long serversVersion;
  private boolean known;
  private boolean readsStore;
  private Moment asOf = Moment.NEVER;
  private Moment lastAskedByOthers = Moment.NEVER;
  private Question question = new Question(0, Moment.NEVER, true);

  /** Process whose changes are followed; empty while the store is read. */
  private String source = "";

  private long sourceVersion;

  /** A question to a neighbour. */
  private record Question(long number, Moment asked, boolean answered) {}

  /**
   * Prepares to follow.
   *
   * @param control the control thread
   * @param store the store
   * @param reader decodes announcements
   * @param group knows the other entries
   * @param self this entry
   * @param drainMs time for which a leaving server may still get work
   * @param changed runs when there is something to publish
   */
  BackendFollower(
      ControlThread control,
      SharedStore store,
      SiteReader reader,
      GroupFollower group,
      Member self,
      long drainMs,
      Runnable changed) {
    this.control = control;
    this.reader = reader;
    this.group = group;
    this.self = self;
    this.drainMs = drainMs;
    this.changed = changed;
    this.book = new BackendRegistry((long) (drainMs * LAPSE_SHARE));
    this.store =
        new TopicFollower(
            control,
            store,
            Topic.BACKENDS,
            new TopicFollower.Pace(0, this::readPeriodMs),
            this::replace,
            this::take);
  }

  /**
   * Starts to follow.
   *
   * @param sender sends a message to the peer address of another entry
   */
  void start(BiConsumer<String, PeerMessage> sender) {
    peers = sender;
    readStore();
    control.after(askPeriodMs(), this::tick);
  }

  List<BackendServer> servers() {
    return servers;
  }

  long serversVersion() {
    return serversVersion;
  }

  boolean serversKnown() {
    return known;
  }

  private long readPeriodMs() {
    boolean asked = Moment.now().since(lastAskedByOthers) < ASKED_MS;
    return (long) (drainMs * (asked ? ASK_SHARE : READ_SHARE));
  }

  private long askPeriodMs() {
    return (long) (drainMs * ASK_SHARE);
  }

  private boolean isOld(Moment knowledge) {
    return Moment.now().since(knowledge) > drainMs * MAX_AGE_SHARE;
  }

  private void tick() {
    control.after(askPeriodMs(), this::tick);
    List<Member> neighbours =
        group.members().stream().filter(m -> m.domain().equals(self.domain())).toList();
    // The next reader is asked where the last one did not answer.
    long number = question.number() + (question.answered() ? 2 : 1);
    Optional<Member> asked =
        StoreReaders.readerFor(neighbours.stream().map(Member::vm).toList(), self.vm(), number)
            .flatMap(vm -> neighbours.stream().filter(m -> m.vm().equals(vm)).findFirst());
    if (asked.isEmpty() || isOld(asOf)) {
      readStore();
    }
    asked.ifPresent(
        neighbour -> {
          question = new Question(number, Moment.now(), false);
          peers.accept(
              neighbour.peerAddress(), new AnnouncementsQuery(number, source, sourceVersion));
        });
  }

  private void readStore() {
    if (!readsStore) {
      readsStore = true;
      source = "";
      LOG.log(Level.INFO, "event=announcements_from_store");
      store.start();
    }
  }

  private void readNeighbour(String from) {
    if (readsStore) {
      readsStore = false;
      LOG.log(Level.INFO, "event=announcements_from_neighbour process={0}", from);
      store.stop();
    }
  }

  /**
   * Takes a message of another entry.
   *
   * @param from peer address of the sender
   * @param message the message; others than those about announcements are ignored
   */
  void received(String from, PeerMessage message) {
    if (message instanceof AnnouncementsQuery query) {
      lastAskedByOthers = Moment.now();
      peers.accept(from, reply(query));
    } else if (message instanceof AnnouncementsReply reply) {
      take(reply);
    }
  }

  private AnnouncementsReply reply(AnnouncementsQuery query) {
    long version = query.getSource().equals(process()) ? query.getVersion() : 0;
    AnnouncementLog.Changes changes = board.since(version);
    return new AnnouncementsReply(
        query.getNumber(),
        process(),
        board.version(),
        Moment.now().since(asOf),
        changes.snapshot(),
        changes.updates().stream()
            .map(entry -> new Announcement(entry.key(), entry.value().orElse(null)))
            .toList());
  }

  /** An answer counts from before its question, since it may have lain in a socket for long. */
  private void take(AnnouncementsReply reply) {
    Moment told = question.asked().minus(reply.getAgeMs());
    boolean expected = reply.getNumber() == question.number() && !question.answered();
    if (!expected || isOld(told) || told.monotonicMs() < asOf.monotonicMs()) {
      return;
    }
    question = new Question(question.number(), question.asked(), true);
    readNeighbour(reply.getSource());
    source = reply.getSource();
    sourceVersion = reply.getVersion();
    List<StoreRecord> records =
        reply.getAnnouncements().stream().map(BackendFollower::entry).toList();
    if (reply.isWhole()) {
      replace(records, told);
    } else {
      take(records, told);
    }
  }

  private static StoreRecord entry(Announcement announcement) {
    return new StoreRecord(
        announcement.getKey(), announcement.getValue().map(Base64.getDecoder()::decode));
  }

  private String process() {
    return self.vm() + "@" + self.boot();
  }

  private void replace(List<StoreRecord> records, Moment asked) {
    Map<String, BackendServer> all = new HashMap<>();
    Map<String, StoreRecord> byKey = new HashMap<>();
    for (StoreRecord entry : records) {
      byKey.put(entry.key(), entry);
      decode(entry).ifPresent(server -> all.put(entry.key(), server));
    }
    List<String> different = book.replaceAll(all, asked.monotonicMs());
    different.forEach(
        key ->
            board.put(
                key,
                Optional.ofNullable(byKey.get(key))
                    .filter(entry -> all.containsKey(key))
                    .flatMap(BackendFollower::text)));
    known = true;
    asOf = asked;
    publish(!different.isEmpty());
  }

  private void take(List<StoreRecord> records, Moment asked) {
    boolean different = false;
    for (StoreRecord entry : records) {
      Optional<BackendServer> server = decode(entry);
      if (book.update(entry.key(), server, asked.monotonicMs())) {
        different = true;
        board.put(entry.key(), server.flatMap(usable -> text(entry)));
      }
    }
    asOf = asked;
    publish(different);
  }

  private static Optional<String> text(StoreRecord entry) {
    return entry.value().map(Base64.getEncoder()::encodeToString);
  }

  private void publish(boolean different) {
    if (!different) {
      return;
    }
    book.nextExpiryMs()
        .ifPresent(
            atMs ->
                control.after(
                    Math.max(0, atMs - Moment.nowMs()),
                    () -> publish(book.expire(Moment.nowMs()))));
    List<BackendServer> next = book.usable();
    if (!next.equals(servers)) {
      logDifference(servers, next);
      servers = next;
      serversVersion++;
      changed.run();
    }
  }

  private static void logDifference(List<BackendServer> last, List<BackendServer> next) {
    next.stream()
        .filter(server -> !last.contains(server))
        .forEach(server -> logServer("backend_usable", server));
    last.stream()
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
  private Optional<BackendServer> decode(StoreRecord entry) {
    return entry
        .value()
        .flatMap(
            bytes -> {
              Result<BackendServer> decoded = reader.backend().apply(entry.key(), bytes);
              decoded
                  .failure()
                  .ifPresent(
                      failure ->
                          LOG.log(
                              Level.WARNING,
                              "event=backend_unreadable key={0} cause={1} {2}",
                              entry.key(),
                              failure.type(),
                              failure.message()));
              return decoded.value();
            });
  }
}
