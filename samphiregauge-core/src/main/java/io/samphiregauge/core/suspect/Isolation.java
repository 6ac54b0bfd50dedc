package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.peer.SuspicionAck;
import io.samphiregauge.schema.peer.SuspicionNotice;
import io.samphiregauge.schema.record.Incarnation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Reserves engines for suspects. A suspect may start once this entry and all others that have not
 * ended start no new requests on the engine and have no unproven request running on it. An entry
 * that gossip reports dead must acknowledge the reservation too: on the other side of a partition
 * it may still use the engine.
 */
final class Isolation {
  private Isolation() {}

  /**
   * Reserves the first available engine for a suspect and requests acknowledgement from all
   * entries.
   */
  static SuspicionState reserve(
      SuspicionState state,
      String fingerprint,
      List<String> engines,
      long nowMs,
      List<SuspicionAction> actions) {
    boolean alreadyReserved =
        state.ownReservations.values().stream().anyMatch(r -> r.fingerprint().equals(fingerprint));
    Optional<String> engine = engines.stream().filter(name -> !state.isReserved(name)).findFirst();
    if (alreadyReserved || engine.isEmpty() || state.level(fingerprint) != SuspicionLevel.SUSPECT) {
      actions.add(new SuspicionAction.IsolationRefused(fingerprint));
      return state;
    }
    long number = state.lastNoticeNumber + 1;
    Map<String, Reservation> own = new TreeMap<>(state.ownReservations);
    own.put(engine.get(), new Reservation(fingerprint, number, false, false));
    SuspicionState reserved = state.withOwnReservations(own);
    actions.add(new SuspicionAction.CheckEngines(state.self, number, List.of(engine.get())));
    SuspicionNotice notice =
        NoticeDelivery.newNotice(reserved, "", List.of(), List.of(), List.of());
    return NoticeDelivery.send(
        reserved, state.expectedAcknowledgers(), notice, List.of(), true, nowMs, actions);
  }

  /**
   * Handles the result of a check by this entry's event loops, for a local or a remote reservation.
   */
  static SuspicionState onEnginesChecked(
      SuspicionState state, SuspicionEvent.EnginesChecked event, List<SuspicionAction> actions) {
    if (!event.reservedBy().equals(state.self)) {
      SuspicionAck ack = new SuspicionAck(event.number(), busyEngines(state, event));
      actions.add(new SuspicionAction.Send(event.reservedBy(), ack));
      return state;
    }
    Map<String, Reservation> own = new TreeMap<>(state.ownReservations);
    own.replaceAll(
        (engine, reservation) ->
            reservation.noticeNumber() == event.number()
                ? reservation.withLocallyFree(!event.busy().contains(engine))
                : reservation);
    return grantReady(state.withOwnReservations(own), actions);
  }

  /**
   * Replaces the reservations of another entry by those in its notice; ignores outdated notices.
   */
  static SuspicionState applyRemoteReservations(
      SuspicionState state,
      Incarnation from,
      SuspicionNotice notice,
      long nowMs,
      List<SuspicionAction> actions) {
    List<String> engines = notice.getReservedEngines().orElse(List.of());
    long lastNoticeNumber =
        Optional.ofNullable(state.remoteReservations.get(from))
            .map(RemoteReservations::noticeNumber)
            .orElse(0L);
    if (notice.getNumber() < lastNoticeNumber) {
      return state;
    }
    Map<Incarnation, RemoteReservations> reservations = new HashMap<>(state.remoteReservations);
    reservations.put(from, new RemoteReservations(notice.getNumber(), engines));
    SuspicionState next =
        resolveConflicts(state.withRemoteReservations(reservations), from, engines, actions);
    return next.ownReservations.size() == state.ownReservations.size()
        ? next
        : announceReservations(next, nowMs, actions);
  }

  /** Grants reservations of engines on which no entry has an unproven request any more. */
  static SuspicionState grantReady(SuspicionState state, List<SuspicionAction> actions) {
    if (state.ownReservations.isEmpty()) {
      return state;
    }
    Map<String, Reservation> own = new TreeMap<>(state.ownReservations);
    own.replaceAll(
        (engine, reservation) -> {
          boolean ready =
              !reservation.granted()
                  && reservation.locallyFree()
                  && NoticeDelivery.isReservationAcknowledged(state, engine);
          if (!ready) {
            return reservation;
          }
          actions.add(new SuspicionAction.IsolationGranted(reservation.fingerprint(), engine));
          return reservation.asGranted();
        });
    return state.withOwnReservations(own);
  }

  /** Repeats the check by the event loops for own reservations that are not locally free yet. */
  static void recheckEngines(SuspicionState state, List<SuspicionAction> actions) {
    state.ownReservations.forEach(
        (engine, reservation) -> {
          if (!reservation.locallyFree()) {
            actions.add(
                new SuspicionAction.CheckEngines(
                    state.self, reservation.noticeNumber(), List.of(engine)));
          }
        });
  }

  /**
   * Drops the reservation of a crashed engine. Its suspect is refused unless it was on the engine.
   */
  static SuspicionState onEngineCrashed(
      SuspicionState state,
      String engine,
      List<String> crashedFingerprints,
      List<SuspicionAction> actions) {
    Map<String, Reservation> own = new TreeMap<>(state.ownReservations);
    Optional<Reservation> reservation = Optional.ofNullable(own.remove(engine));
    reservation
        .map(Reservation::fingerprint)
        .filter(fingerprint -> !crashedFingerprints.contains(fingerprint))
        .ifPresent(f -> actions.add(new SuspicionAction.IsolationRefused(f)));
    return state.withOwnReservations(own);
  }

  /** Sends the current own reservations to all live entries. */
  private static SuspicionState announceReservations(
      SuspicionState state, long nowMs, List<SuspicionAction> actions) {
    SuspicionNotice notice = NoticeDelivery.newNotice(state, "", List.of(), List.of(), List.of());
    return NoticeDelivery.send(state, state.live, notice, List.of(), false, nowMs, actions);
  }

  /** Drops the reservations of a request. */
  static SuspicionState release(SuspicionState state, String fingerprint) {
    Map<String, Reservation> own = new TreeMap<>(state.ownReservations);
    own.values().removeIf(reservation -> reservation.fingerprint().equals(fingerprint));
    return state.withOwnReservations(own);
  }

  /**
   * Drops own reservations that conflict with those of an entry that sorts before this one. Granted
   * reservations are kept.
   */
  private static SuspicionState resolveConflicts(
      SuspicionState state, Incarnation from, List<String> engines, List<SuspicionAction> actions) {
    if (PendingNotice.INCARNATION_ORDER.compare(from, state.self) > 0) {
      return state;
    }
    Map<String, Reservation> own = new TreeMap<>(state.ownReservations);
    for (String engine : engines) {
      Optional<Reservation> conflicting = Optional.ofNullable(own.get(engine));
      if (conflicting.filter(reservation -> !reservation.granted()).isPresent()) {
        own.remove(engine);
        actions.add(new SuspicionAction.IsolationRefused(conflicting.get().fingerprint()));
      }
    }
    return state.withOwnReservations(own);
  }

  /**
   * Returns the engines that the event loops reported busy, and the engines of the remote
   * reservation that this entry has reserved as well.
   */
  private static List<String> busyEngines(
      SuspicionState state, SuspicionEvent.EnginesChecked event) {
    List<String> busy = new ArrayList<>(event.busy());
    List<String> reserved =
        Optional.ofNullable(state.remoteReservations.get(event.reservedBy()))
            .map(RemoteReservations::engines)
            .orElse(List.of());
    reserved.stream()
        .filter(engine -> state.ownReservations.containsKey(engine) && !busy.contains(engine))
        .forEach(busy::add);
    return busy;
  }
}
