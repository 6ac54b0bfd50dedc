package io.samphiregauge.core.quota;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.RendezvousHash;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Decides which entry lends for which team: the first of the members by rendezvous hashing. Not
 * thread-safe.
 *
 * <p>The entry that becomes the first because others were dropped from the group may lend at once,
 * since these had stopped before the store dropped them. The entry that becomes the first because
 * it joined waits until the previous lender has passed the team on, or must have read the new list.
 */
public final class LenderRoster {
  /** Removals that are remembered; teams may lose some of their burst by one that is forgotten. */
  private static final int MAX_REMOVALS = 64;

  private final String self;
  private List<Member> members = List.of();
  private final Map<String, Optional<Member>> firsts = new HashMap<>();
  private final Set<String> receivedTeams = new HashSet<>();
  private final Deque<Removal> removals = new ArrayDeque<>();
  private DualTimestamp memberSince = DualTimestamp.NEVER;
  private long forgottenAtMs = Long.MIN_VALUE;

  private record Removal(long atMs, List<Member> removed) {}

  /**
   * A member of the group.
   *
   * @param vm VM of the entry
   * @param startMs start of its process, in milliseconds since the epoch
   * @param address peer address
   */
  public record Member(String vm, long startMs, String address) {}

  /**
   * Creates the roster of an entry that knows no members.
   *
   * @param self VM of this entry
   */
  public LenderRoster(String self) {
    this.self = self;
  }

  /**
   * Replaces the members.
   *
   * @param newMembers the members, one for each VM
   * @param nowMs monotonic time in milliseconds
   */
  public void setMembers(List<Member> newMembers, long nowMs) {
    Set<String> names = new HashSet<>();
    newMembers.forEach(member -> names.add(member.vm()));
    List<Member> removed = members.stream().filter(member -> !names.contains(member.vm())).toList();
    if (!removed.isEmpty()) {
      removals.addLast(new Removal(nowMs, removed));
    }
    if (removals.size() > MAX_REMOVALS) {
      forgottenAtMs = removals.removeFirst().atMs();
    }
    members = List.copyOf(newMembers);
    firsts.clear();
  }

  /**
   * Adopts the newest lease, and forgets what was passed on to this entry if its membership had a
   * gap, in which others may have lent.
   *
   * @param lease the lease
   * @param now current time
   * @return whether there was a gap
   */
  public boolean checkLease(MembershipLease lease, DualTimestamp now) {
    boolean gap = !lease.memberSince().equals(memberSince) || !lease.holds(now);
    memberSince = lease.memberSince();
    if (gap) {
      // Without what was lent before, a bucket must not begin full.
      forgottenAtMs = now.monotonicMs();
      receivedTeams.clear();
    }
    return gap;
  }

  /**
   * Returns the time since which this entry has been the first member for a team: the last time at
   * which a member was dropped that came before it.
   *
   * @param team name of the team
   * @param lease the confirmation of its membership
   * @return monotonic time in milliseconds
   */
  public long firstSinceMs(String team, MembershipLease lease) {
    long sinceMs = Math.max(forgottenAtMs, lease.settledAtMs());
    for (Removal removal : removals) {
      boolean first =
          RendezvousHash.select(
                  team,
                  Stream.concat(removal.removed().stream().map(Member::vm), Stream.of(self))
                      .toList(),
                  vm -> vm)
              .filter(self::equals)
              .isPresent();
      if (!first) {
        sinceMs = Math.max(sinceMs, removal.atMs());
      }
    }
    return sinceMs;
  }

  /** Returns the first member for a team, or empty while no members are known. */
  public Optional<Member> first(String team) {
    return firsts.computeIfAbsent(team, name -> RendezvousHash.select(name, members, Member::vm));
  }

  /** Returns whether this entry is the first member for a team. */
  public boolean isFirst(String team) {
    return first(team).filter(member -> member.vm().equals(self)).isPresent();
  }

  /** Returns the member to which an ask is passed on that this entry cannot answer. */
  public Optional<Member> alternative(String team) {
    if (!isFirst(team)) {
      return first(team);
    }
    List<Member> others = members.stream().filter(member -> !member.vm().equals(self)).toList();
    return RendezvousHash.select(team, others, Member::vm);
  }

  /**
   * Returns whether this entry may lend for a team now.
   *
   * @param team name of the team
   * @param lease the confirmation of its membership
   * @param now current time
   */
  public boolean mayLend(String team, MembershipLease lease, DualTimestamp now) {
    return lease.holds(now)
        && (receivedTeams.contains(team) || (isFirst(team) && lease.isSettled(now)));
  }

  /**
   * Records that another member passed a team on to this entry.
   *
   * @param team name of the team
   * @param vm VM of the sender
   * @param startMs start of the sender's process
   * @return whether that is accepted; if not, it comes from a member that was not the lender
   */
  public boolean receive(String team, String vm, long startMs) {
    boolean fromFirst =
        first(team)
            .filter(member -> member.vm().equals(vm) && member.startMs() == startMs)
            .isPresent();
    boolean accepted = isFirst(team) || fromFirst;
    if (accepted) {
      receivedTeams.add(team);
    }
    return accepted;
  }

  /**
   * Records that this entry lends no more for a team.
   *
   * @param team name of the team
   */
  public void release(String team) {
    receivedTeams.remove(team);
  }
}
