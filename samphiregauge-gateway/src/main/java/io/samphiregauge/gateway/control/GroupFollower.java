package io.samphiregauge.gateway.control;

import io.samphiregauge.gateway.Member;
import io.samphiregauge.gateway.Moment;
import io.samphiregauge.gateway.port.SharedStore;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Keeps this entry in the group of entries and knows the others. Runs on the control thread.
 *
 * <p>The group only says who is probably alive; no authority follows from it, since the store may
 * drop members during an outage.
 */
final class GroupFollower {
  private static final Logger LOG = System.getLogger(GroupFollower.class.getName());

  /** A third of the shortest life of a membership that the store allows. */
  private static final long JOIN_PERIOD_MS = 1_000;

  /** After an outage members need this long to join again; until then the old list stands. */
  private static final long REJOIN_MS = 2_500;

  private final ControlThread control;
  private final SharedStore store;
  private final Member self;
  private final Runnable changed;
  private List<Member> members;
  private long generation;
  private boolean stale = true;
  private boolean stopped;
  private Moment lastFailure = Moment.NEVER;

  GroupFollower(ControlThread control, SharedStore store, Member self, Runnable changed) {
    this.control = control;
    this.store = store;
    this.self = self;
    this.changed = changed;
    this.members = List.of(self);
  }

  void start() {
    join();
  }

  /** Takes this entry out of the group, so that callers are sent elsewhere. */
  void leave() {
    stopped = true;
    members = members.stream().filter(member -> !member.equals(self)).toList();
    changed.run();
    control.take(
        store.leave().leave(self.text()),
        result -> LOG.log(Level.INFO, "event=group_left ok=" + result.value().isPresent()));
  }

  List<Member> members() {
    return members;
  }

  /** Returns the place of this entry among all, which spreads claims of the lease. */
  int rank() {
    return Math.max(0, members.indexOf(self));
  }

  private void join() {
    if (stopped) {
      return;
    }
    control.after(JOIN_PERIOD_MS, this::join);
    control.take(
        store.join().join(self.text(), generation),
        result -> {
          if (result.value().isEmpty()) {
            lastFailure = Moment.now();
            stale = true;
            return;
          }
          long joined = result.value().orElseThrow();
          stale = stale || joined != generation;
          generation = joined;
          if (stale && !stopped) {
            readMembers();
          }
        });
  }

  private void readMembers() {
    control.take(
        store.members().read(),
        result ->
            result
                .value()
                .ifPresent(
                    texts -> {
                      stale = false;
                      replace(texts);
                    }));
  }

  private void replace(List<String> texts) {
    if (stopped) {
      return;
    }
    List<Member> next = new ArrayList<>();
    texts.forEach(text -> Member.parse(text).ifPresent(next::add));
    if (!next.contains(self)) {
      next.add(self);
    }
    if (Moment.now().since(lastFailure) < REJOIN_MS) {
      members.stream().filter(member -> !next.contains(member)).forEach(next::add);
      stale = true;
    }
    next.sort(Comparator.comparing(Member::vm).thenComparing(Member::boot));
    if (!next.equals(members)) {
      LOG.log(Level.INFO, "event=members_changed count=" + next.size() + " members=" + names(next));
      members = List.copyOf(next);
      changed.run();
    }
  }

  private static List<String> names(List<Member> members) {
    return members.stream().map(Member::vm).toList();
  }
}
