package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.peer.SuspicionAck;
import io.samphiregauge.schema.peer.SuspicionNotice;
import io.samphiregauge.schema.record.Incarnation;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.UnaryOperator;

/** Sends notices until all live entries have confirmed them. */
final class NoticeDelivery {
  private NoticeDelivery() {}

  /**
   * Sends a notice to entries and waits for their confirmations.
   *
   * @param waitingFingerprints requests whose callers wait for the confirmations
   * @param requestsReservation whether the notice asks for a reservation
   */
  static SuspicionState send(
      SuspicionState state,
      Set<Incarnation> recipients,
      SuspicionNotice notice,
      List<String> waitingFingerprints,
      boolean requestsReservation,
      long nowMs,
      List<SuspicionAction> actions) {
    Set<Incarnation> unacknowledged = new TreeSet<>(PendingNotice.INCARNATION_ORDER);
    unacknowledged.addAll(recipients);
    PendingNotice pending =
        new PendingNotice(
            notice, waitingFingerprints, requestsReservation, unacknowledged, nowMs, nowMs);
    unacknowledged.forEach(member -> actions.add(new SuspicionAction.Send(member, notice)));
    Map<Long, PendingNotice> next = new TreeMap<>(state.pendingNotices);
    next.put(notice.getNumber(), pending);
    return completeAcknowledged(state.withPendingNotices(notice.getNumber(), next), actions);
  }

  static SuspicionNotice newNotice(
      SuspicionState state,
      String engine,
      List<String> suspected,
      List<String> cleared,
      List<String> blocked) {
    return new SuspicionNotice(
        state.lastNoticeNumber + 1,
        engine,
        suspected,
        cleared,
        blocked,
        state.ownReservedEngines());
  }

  /** An entry that is still busy on a reserved engine is asked again. */
  static SuspicionState acknowledge(
      SuspicionState state, Incarnation from, SuspicionAck ack, List<SuspicionAction> actions) {
    boolean busy = !ack.getBusyEngines().orElse(List.of()).isEmpty();
    return completeAcknowledged(
        updateEach(
            state,
            entry -> {
              boolean confirmed =
                  entry.notice().getNumber() == ack.getNumber()
                      && !(entry.requestsReservation() && busy);
              return confirmed ? entry.withAcknowledgement(from) : entry;
            }),
        actions);
  }

  static SuspicionState dropDeparted(SuspicionState state, List<SuspicionAction> actions) {
    return completeAcknowledged(
        updateEach(state, entry -> entry.retainRecipients(state.expectedAcknowledgers())), actions);
  }

  static SuspicionState resend(SuspicionState state, long nowMs, List<SuspicionAction> actions) {
    if (state.pendingNotices.isEmpty()) {
      return state;
    }
    SuspicionState resent =
        updateEach(
            state,
            entry -> {
              if (nowMs - entry.lastSentMs() < SuspicionLimits.RESEND_INTERVAL_MS) {
                return entry;
              }
              entry
                  .unacknowledged()
                  .forEach(to -> actions.add(new SuspicionAction.Send(to, entry.notice())));
              return entry.resentAt(nowMs);
            });
    return updateEach(
        resent,
        entry -> {
          if (nowMs - entry.firstSentMs() < SuspicionLimits.ACK_TIMEOUT_MS) {
            return entry;
          }
          releaseCallers(entry, false, actions);
          return entry.requestsReservation()
              ? entry
              : entry.withoutCallers().retainRecipients(state.live);
        });
  }

  /** Tells whether all live entries have closed a reserved engine and are not busy on it. */
  static boolean isReservationAcknowledged(SuspicionState state, String engine) {
    return state.pendingNotices.values().stream()
        .filter(PendingNotice::requestsReservation)
        .flatMap(entry -> entry.notice().getReservedEngines().orElse(List.of()).stream())
        .noneMatch(engine::equals);
  }

  /** Drops what all have confirmed, and lets the callers who waited for it be answered. */
  private static SuspicionState completeAcknowledged(
      SuspicionState state, List<SuspicionAction> actions) {
    Map<Long, PendingNotice> pending = new TreeMap<>();
    for (PendingNotice notice : new ArrayList<>(state.pendingNotices.values())) {
      if (notice.unacknowledged().isEmpty()) {
        releaseCallers(notice, true, actions);
      } else {
        pending.put(notice.notice().getNumber(), notice);
      }
    }
    return state.withPendingNotices(state.lastNoticeNumber, pending);
  }

  private static void releaseCallers(
      PendingNotice pending, boolean allAcknowledged, List<SuspicionAction> actions) {
    if (!pending.waitingFingerprints().isEmpty()) {
      actions.add(
          new SuspicionAction.ReleaseCallers(
              pending.notice().getEngine(), pending.waitingFingerprints(), allAcknowledged));
    }
  }

  private static SuspicionState updateEach(
      SuspicionState state, UnaryOperator<PendingNotice> change) {
    Map<Long, PendingNotice> next = new TreeMap<>(state.pendingNotices);
    next.replaceAll((number, entry) -> change.apply(entry));
    return state.withPendingNotices(state.lastNoticeNumber, next);
  }
}
