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

/** Sends notices repeatedly until all recipients that have not departed have acknowledged them. */
final class NoticeDelivery {
  private NoticeDelivery() {}

  /**
   * Sends a notice and tracks its acknowledgements.
   *
   * @param waitingFingerprints requests whose callers wait for the acknowledgements
   * @param requestsReservation whether the notice requests a reservation
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

  /**
   * Records an acknowledgement. One that lists busy engines does not acknowledge a reservation
   * request, which is therefore sent again.
   */
  static SuspicionState acknowledge(
      SuspicionState state, Incarnation from, SuspicionAck ack, List<SuspicionAction> actions) {
    boolean busy = !ack.getBusyEngines().orElse(List.of()).isEmpty();
    return completeAcknowledged(
        updateEach(
            state,
            pending -> {
              boolean acknowledged =
                  pending.notice().getNumber() == ack.getNumber()
                      && !(pending.requestsReservation() && busy);
              return acknowledged ? pending.withAcknowledgement(from) : pending;
            }),
        actions);
  }

  /** Stops waiting for recipients that are no longer expected to acknowledge. */
  static SuspicionState dropDeparted(SuspicionState state, List<SuspicionAction> actions) {
    return completeAcknowledged(
        updateEach(state, pending -> pending.retainRecipients(state.expectedAcknowledgers())),
        actions);
  }

  /**
   * Sends unacknowledged notices again, and releases callers after {@link
   * SuspicionLimits#ACK_TIMEOUT_MS}. From then on only live entries have to acknowledge, except for
   * a reservation request.
   */
  static SuspicionState resend(SuspicionState state, long nowMs, List<SuspicionAction> actions) {
    if (state.pendingNotices.isEmpty()) {
      return state;
    }
    SuspicionState resent =
        updateEach(
            state,
            pending -> {
              if (nowMs - pending.lastSentMs() < SuspicionLimits.RESEND_INTERVAL_MS) {
                return pending;
              }
              pending
                  .unacknowledged()
                  .forEach(
                      member -> actions.add(new SuspicionAction.Send(member, pending.notice())));
              return pending.resentAt(nowMs);
            });
    return updateEach(
        resent,
        pending -> {
          if (nowMs - pending.firstSentMs() < SuspicionLimits.ACK_TIMEOUT_MS) {
            return pending;
          }
          releaseCallers(pending, false, actions);
          return pending.requestsReservation()
              ? pending
              : pending.withoutCallers().retainRecipients(state.live);
        });
  }

  /** Returns whether no pending notice requests the reservation of an engine. */
  static boolean isReservationAcknowledged(SuspicionState state, String engine) {
    return state.pendingNotices.values().stream()
        .filter(PendingNotice::requestsReservation)
        .flatMap(pending -> pending.notice().getReservedEngines().orElse(List.of()).stream())
        .noneMatch(engine::equals);
  }

  /** Removes fully acknowledged notices and releases the callers waiting for them. */
  private static SuspicionState completeAcknowledged(
      SuspicionState state, List<SuspicionAction> actions) {
    Map<Long, PendingNotice> remaining = new TreeMap<>();
    for (PendingNotice pending : new ArrayList<>(state.pendingNotices.values())) {
      if (pending.unacknowledged().isEmpty()) {
        releaseCallers(pending, true, actions);
      } else {
        remaining.put(pending.notice().getNumber(), pending);
      }
    }
    return state.withPendingNotices(state.lastNoticeNumber, remaining);
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
    next.replaceAll((number, pending) -> change.apply(pending));
    return state.withPendingNotices(state.lastNoticeNumber, next);
  }
}
