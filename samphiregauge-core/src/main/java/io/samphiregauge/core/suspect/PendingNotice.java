package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.peer.SuspicionNotice;
import io.samphiregauge.schema.record.Incarnation;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A notice that some recipients have not acknowledged.
 *
 * @param notice the notice
 * @param waitingFingerprints requests whose callers wait for the acknowledgements
 * @param requestsReservation whether the notice requests a reservation
 * @param unacknowledged entries that have not acknowledged it, or are still busy on a reserved
 *     engine
 * @param firstSentMs time at which the notice was first sent
 * @param lastSentMs time at which the notice was last sent
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
    Set<Incarnation> remaining = new TreeSet<>(INCARNATION_ORDER);
    remaining.addAll(unacknowledged);
    remaining.remove(member);
    return withUnacknowledged(remaining);
  }

  PendingNotice retainRecipients(Set<Incarnation> recipients) {
    Set<Incarnation> remaining = new TreeSet<>(INCARNATION_ORDER);
    unacknowledged.stream().filter(recipients::contains).forEach(remaining::add);
    return withUnacknowledged(remaining);
  }

  PendingNotice resentAt(long nowMs) {
    return new PendingNotice(
        notice, waitingFingerprints, requestsReservation, unacknowledged, firstSentMs, nowMs);
  }

  PendingNotice withoutCallers() {
    return new PendingNotice(
        notice, List.of(), requestsReservation, unacknowledged, firstSentMs, lastSentMs);
  }

  private PendingNotice withUnacknowledged(Set<Incarnation> remaining) {
    return new PendingNotice(
        notice, waitingFingerprints, requestsReservation, remaining, firstSentMs, lastSentMs);
  }
}
