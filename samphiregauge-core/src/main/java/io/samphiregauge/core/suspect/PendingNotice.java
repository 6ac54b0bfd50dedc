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
 * @param waitingFingerprints requests whose callers wait for it
 * @param requestsReservation whether the notice asks for a reservation
 * @param unacknowledged entries that have not confirmed it, or are still busy on a reserved engine
 * @param firstSentMs time of the first sending
 * @param lastSentMs time of the last sending
 */
record PendingNotice(
    SuspicionNotice notice,
    List<String> waitingFingerprints,
    boolean requestsReservation,
    Set<Incarnation> unacknowledged,
    long firstSentMs,
    long lastSentMs) {
  static final Comparator<Incarnation> INCARNATION_ORDER =
      Comparator.comparing(Incarnation::getVm)
          .thenComparing(Incarnation::getStartMs)
          .thenComparing(Incarnation::getNonce);

  PendingNotice withAcknowledgement(Incarnation member) {
    Set<Incarnation> rest = new TreeSet<>(INCARNATION_ORDER);
    rest.addAll(unacknowledged);
    rest.remove(member);
    return withUnacknowledged(rest);
  }

  PendingNotice retainRecipients(Set<Incarnation> recipients) {
    Set<Incarnation> rest = new TreeSet<>(INCARNATION_ORDER);
    unacknowledged.stream().filter(recipients::contains).forEach(rest::add);
    return withUnacknowledged(rest);
  }

  PendingNotice resentAt(long nowMs) {
    return new PendingNotice(
        notice, waitingFingerprints, requestsReservation, unacknowledged, firstSentMs, nowMs);
  }

  PendingNotice withoutCallers() {
    return new PendingNotice(
        notice, List.of(), requestsReservation, unacknowledged, firstSentMs, lastSentMs);
  }

  private PendingNotice withUnacknowledged(Set<Incarnation> rest) {
    return new PendingNotice(
        notice, waitingFingerprints, requestsReservation, rest, firstSentMs, lastSentMs);
  }
}
