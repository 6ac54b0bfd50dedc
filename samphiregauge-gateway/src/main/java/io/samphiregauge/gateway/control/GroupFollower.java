package io.samphiregauge.gateway.control;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.backend.StoreReaders;
import io.samphiregauge.core.quota.MembershipLease;
import io.samphiregauge.core.quota.MembershipTracker;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.gateway.port.SharedStore;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Keeps this entry in the group of entries and tracks the other members. Runs on the control
 * thread.
 *
 * <p>The list indicates which entries are probably running, since the store may drop members during
 * an outage. Authority to lend the quotas of teams rests on {@link #lease}, which counts from the
 * last join whose list this entry has.
 */
final class GroupFollower {
  private static final Logger LOG = System.getLogger(GroupFollower.class.getName());

  /** Interval between joins: a third of the shortest membership TTL that the store allows. */
  private static final long JOIN_PERIOD_MS = 1_000;

  /**
   * Time after a failed join for which no member is removed. After an outage of the store, members
   * need this long to join again.
   */
  private static final long REJOIN_GRACE_MS = 2_500;

  /**
   * Time from the send of a join for which the store certainly keeps the member, less what a call
   * and the difference of two clocks take.
   */
  static final long LEASE_MS = SharedStore.MEMBER_TTL_MS - 200;

  /** Up to this number of entries, each one reads the members from the store. */
  private static final int MAX_OWN_READS = 20;

  private final ControlThread control;
  private final SharedStore store;
  private final GroupMember self;
  private final Runnable onChange;
  private final MemberExchange memberExchange;
  private List<GroupMember> members;
  private long silentReaders;
  private long generation;
  private long startedReads;
  private long appliedRead;
  private boolean membersStale = true;
  private boolean stopped;
  private DualTimestamp lastJoinFailure = DualTimestamp.NEVER;
  private final MembershipTracker tracker = new MembershipTracker(LEASE_MS);

  GroupFollower(ControlThread control, SharedStore store, GroupMember self, Runnable onChange) {
    this.control = control;
    this.store = store;
    this.self = self;
    this.onChange = onChange;
    this.members = List.of(self);
    this.memberExchange = new MemberExchange(control, store, this::reader, this::replaceReader);
  }

  void start() {
    join();
  }

  /** Removes this entry from the group, so that callers are directed to other entries. */
  void leave() {
    stopped = true;
    members = members.stream().filter(member -> !member.equals(self)).toList();
    onChange.run();
    control.onResult(
        store.groupLeaver().leave(self.encode()),
        result -> LOG.log(Level.INFO, "event=group_left ok=" + result.value().isPresent()));
  }

  List<GroupMember> members() {
    return members;
  }

  /** Returns how long this entry may rely on the list of members. */
  MembershipLease lease() {
    return tracker.lease();
  }

  /** Returns the index of this entry among all members, which staggers claims of the lease. */
  int rank() {
    return Math.max(0, members.indexOf(self));
  }

  private void join() {
    if (stopped) {
      return;
    }
    control.schedule(JOIN_PERIOD_MS, this::join);
    DualTimestamp sentAt = DualTimestamp.now();
    control.onResult(
        store.groupJoiner().join(self.encode(), generation),
        result -> {
          if (result.value().isEmpty()) {
            lastJoinFailure = DualTimestamp.now();
            membersStale = true;
            return;
          }
          tracker.recordJoined(sentAt, DualTimestamp.now());
          long joinedGeneration = result.value().orElseThrow();
          membersStale = membersStale || joinedGeneration != generation;
          generation = joinedGeneration;
          if (membersStale && !stopped) {
            readMembers(sentAt);
          } else {
            confirmList(sentAt);
          }
        });
  }

  private void confirmList(DualTimestamp joinSentAt) {
    tracker.recordListConfirmed(joinSentAt);
    onChange.run();
  }

  private void readMembers(DualTimestamp joinSentAt) {
    long wanted = generation;
    long number = ++startedReads;
    memberExchange.read(
        wanted,
        texts -> {
          if (number < appliedRead) {
            return;
          }
          appliedRead = number;
          // A list that was asked for before the last change does not confirm the membership.
          boolean current = wanted == generation;
          membersStale = !current;
          onMembersRead(texts);
          if (current) {
            confirmList(joinSentAt);
          }
        });
  }

  /** Returns the entry that reads the store for this one; empty if it does so itself. */
  Optional<GroupMember> reader() {
    if (members.size() <= MAX_OWN_READS) {
      return Optional.empty();
    }
    List<GroupMember> neighbours =
        members.stream().filter(member -> member.domain().equals(self.domain())).toList();
    return StoreReaders.readerFor(
            neighbours.stream().map(GroupMember::vm).toList(), self.vm(), silentReaders)
        .flatMap(vm -> neighbours.stream().filter(m -> m.vm().equals(vm)).findFirst())
        .filter(member -> member.capacity().isPresent());
  }

  /** Selects the other reader, because the present one has not answered. */
  void replaceReader() {
    silentReaders++;
  }

  /** Exchanges members with other entries. */
  MemberExchange memberExchange() {
    return memberExchange;
  }

  private void onMembersRead(List<String> texts) {
    if (stopped) {
      return;
    }
    List<GroupMember> next = new ArrayList<>();
    texts.forEach(text -> GroupMember.parse(text).ifPresent(next::add));
    if (!next.contains(self)) {
      next.add(self);
    }
    next.stream()
        .filter(member -> member.vm().equals(self.vm()))
        .forEach(member -> tracker.recordPredecessor(self.startMs() - member.startMs()));
    if (DualTimestamp.now().millisSince(lastJoinFailure) < REJOIN_GRACE_MS) {
      members.stream().filter(member -> !next.contains(member)).forEach(next::add);
      membersStale = true;
    }
    next.sort(Comparator.comparing(GroupMember::vm).thenComparing(GroupMember::startMs));
    if (!next.equals(members)) {
      LOG.log(Level.INFO, "event=members_changed count=" + next.size() + " members=" + vms(next));
      members = List.copyOf(next);
      onChange.run();
    }
  }

  private static List<String> vms(List<GroupMember> members) {
    return members.stream().map(GroupMember::vm).toList();
  }
}
