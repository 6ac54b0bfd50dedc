package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.peer.SuspicionNotice;
import io.samphiregauge.schema.record.Incarnation;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A notice that not all live entries have confirmed.
 *
 * @param notice the notice
 * @param waiting requests whose callers wait for it
 * @param reserved whether the notice asks for a reservation
 * @param missing entries that have not confirmed it, or are still busy on a reserved engine
 * @param firstSentMs time of the first sending
 * @param lastSentMs time of the last sending
 */
record PendingNotice(
    SuspicionNotice notice,
    List<String> waiting,
    boolean reserved,
    Set<Incarnation> missing,
    long firstSentMs,
    long lastSentMs) {
  static final Comparator<Incarnation> ORDER =
      Comparator.comparing(Incarnation::getVm)
          .thenComparing(Incarnation::getStartMs)
          .thenComparing(Incarnation::getNonce);

  PendingNotice without(Incarnation member) {
    Set<Incarnation> rest = new TreeSet<>(ORDER);
    rest.addAll(missing);
    rest.remove(member);
    return withMissing(rest);
  }

  PendingNotice onlyAmong(Set<Incarnation> live) {
    Set<Incarnation> rest = new TreeSet<>(ORDER);
    missing.stream().filter(live::contains).forEach(rest::add);
    return withMissing(rest);
  }

  PendingNotice sentAt(long nowMs) {
    return new PendingNotice(notice, waiting, reserved, missing, firstSentMs, nowMs);
  }

  PendingNotice answered() {
    return new PendingNotice(notice, List.of(), reserved, missing, firstSentMs, lastSentMs);
  }

  private PendingNotice withMissing(Set<Incarnation> rest) {
    return new PendingNotice(notice, waiting, reserved, rest, firstSentMs, lastSentMs);
  }
}
