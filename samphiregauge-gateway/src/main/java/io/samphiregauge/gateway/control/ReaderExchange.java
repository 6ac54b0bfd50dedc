package io.samphiregauge.gateway.control;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.backend.StoreReaders;
import io.samphiregauge.core.directory.EntryCapacity;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.ConfigCopy;
import io.samphiregauge.schema.peer.ConfigQuery;
import io.samphiregauge.schema.peer.ReaderQuery;
import io.samphiregauge.schema.peer.ReaderReply;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Asks an entry of the same failure domain that reads the store for what it has read, and answers
 * such queries of other entries. Each call to the store is billed, so only a few entries of a large
 * failure domain read it. Runs on the control thread.
 */
final class ReaderExchange {
  /** Time between two queries, as a fraction of {@code drainMs}. */
  static final double QUERY_PERIOD_SHARE = 0.2;

  /**
   * Time after the last query for which this entry counts as queried. Querying entries pause for
   * longer than this only when they have left the group.
   */
  private static final long QUERIED_TIMEOUT_MS = 3_000;

  private static final double BYTES_PER_MBIT = 125_000;

  /** Time for which copies of the configuration may occupy the link. */
  private static final double COPY_LINK_S = 0.25;

  private final ControlThread control;
  private final GroupFollower group;
  private final GroupMember self;
  private final long queryPeriodMs;
  private final Followers followers;
  private BiConsumer<String, PeerMessage> peerSender = (address, message) -> {};
  private DualTimestamp lastQueriedAt = DualTimestamp.NEVER;
  private PeerQuery lastQuery = new PeerQuery(0, DualTimestamp.NEVER, true);

  /** A query that was sent to a reader. */
  private record PeerQuery(long number, DualTimestamp sentAt, boolean answered) {}

  /** The followers of the topics whose contents are exchanged. */
  record Followers(BackendFollower backends, ConfigFollower config, CrashFollower crashes) {}

  ReaderExchange(
      ControlThread control,
      GroupFollower group,
      GroupMember self,
      long drainMs,
      Followers followers) {
    this.control = control;
    this.group = group;
    this.self = self;
    this.followers = followers;
    this.queryPeriodMs = (long) (drainMs * QUERY_PERIOD_SHARE);
  }

  /**
   * Starts to query readers. Every follower reads the store until a reader answers.
   *
   * @param sender sends a message to the peer address of another entry
   */
  void start(BiConsumer<String, PeerMessage> sender) {
    peerSender = sender;
    control.schedule(queryPeriodMs, this::queryReader);
  }

  /** Returns whether other entries rely on what this entry reads. */
  boolean isQueried() {
    return DualTimestamp.now().millisSince(lastQueriedAt) < QUERIED_TIMEOUT_MS;
  }

  private void queryReader() {
    control.schedule(queryPeriodMs, this::queryReader);
    List<GroupMember> neighbours =
        group.members().stream().filter(m -> m.domain().equals(self.domain())).toList();
    // If the last query got no reply, an odd step selects the other one of the two readers.
    long number = lastQuery.number() + (lastQuery.answered() ? 2 : 1);
    Optional<GroupMember> reader =
        StoreReaders.readerFor(neighbours.stream().map(GroupMember::vm).toList(), self.vm(), number)
            .flatMap(vm -> neighbours.stream().filter(m -> m.vm().equals(vm)).findFirst());
    followers.backends().readStoreIfNeeded(reader.isPresent());
    followers.config().readStoreIfNeeded(reader.isPresent());
    reader.ifPresent(
        neighbour -> {
          lastQuery = new PeerQuery(number, DualTimestamp.now(), false);
          peerSender.accept(
              neighbour.peerAddress(),
              new ReaderQuery(
                  number,
                  followers.backends().followedProcess(),
                  followers.backends().followedVersion(),
                  followers.crashes().nextOffset()));
        });
  }

  /**
   * Handles a message from another entry.
   *
   * @param from peer address of the sender
   * @param message the message; ignored unless it is a query or reply about the store
   */
  void onPeerMessage(String from, PeerMessage message) {
    if (message instanceof ReaderQuery query) {
      lastQueriedAt = DualTimestamp.now();
      peerSender.accept(from, createReply(query));
    } else if (message instanceof ReaderReply reply) {
      onReply(from, reply);
    } else if (message instanceof ConfigQuery query) {
      followers
          .config()
          .copyFor(query.getVersion(), maxCopyBytes())
          .ifPresent(copy -> peerSender.accept(from, copy));
    } else if (message instanceof ConfigCopy copy) {
      followers.config().applyCopy(copy);
    }
  }

  /** Asks a reader for its configuration, unless it runs an earlier version of the program. */
  private boolean requestConfig(String reader) {
    boolean knowsQuery =
        group.members().stream()
            .anyMatch(m -> m.peerAddress().equals(reader) && m.capacity().isPresent());
    if (knowsQuery) {
      peerSender.accept(reader, new ConfigQuery(followers.config().version()));
    }
    return knowsQuery;
  }

  /** Returns the size of a copy that, sent to all entries of the domain, does not fill the link. */
  private long maxCopyBytes() {
    long neighbours =
        group.members().stream().filter(m -> m.domain().equals(self.domain())).count();
    double linkBytesPerS =
        self.capacity().map(EntryCapacity::linkMbps).orElse(0.0) * BYTES_PER_MBIT;
    return (long) (linkBytesPerS * COPY_LINK_S / Math.max(1, neighbours));
  }

  private ReaderReply createReply(ReaderQuery query) {
    DualTimestamp now = DualTimestamp.now();
    BackendFollower backends = followers.backends();
    BackendFollower.Changes changes = backends.changesSince(query.getSource(), query.getVersion());
    CrashFollower crashes = followers.crashes();
    return new ReaderReply(
        query.getNumber(),
        changes.source(),
        changes.version(),
        now.millisSince(changes.asOf()),
        changes.whole(),
        changes.announcements(),
        followers.config().version(),
        now.millisSince(followers.config().configAsOf()),
        crashes.nextOffset(),
        crashes.recordsFrom(query.getCrashOffset()));
  }

  /**
   * Applies a reply to the last query. The ages in the reply are counted back from the time at
   * which the query was sent, because the reply may have waited in a socket buffer for long.
   */
  private void onReply(String from, ReaderReply reply) {
    if (reply.getNumber() != lastQuery.number() || lastQuery.answered()) {
      return;
    }
    DualTimestamp sentAt = lastQuery.sentAt();
    boolean applied = followers.backends().applyReply(reply, sentAt.minusMs(reply.getAgeMs()));
    lastQuery = new PeerQuery(lastQuery.number(), sentAt, applied);
    DualTimestamp readAsOf = sentAt.minusMs(reply.getConfigAgeMs());
    followers.config().confirm(reply.getConfigVersion(), readAsOf, () -> requestConfig(from));
    // The reader waits for crash records all the time, but hears of none while it has lost the
    // store, which the age of its configuration shows.
    followers.crashes().learn(reply.getCrashes(), reply.getCrashOffset(), readAsOf);
  }
}
