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
 * Reserves engines for suspects. A suspect starts once this entry and all others that have not
 * ended have closed the engine for new requests and have no unproven request on it. An entry that
 * gossip calls dead must consent too: behind a partition it may still use the engine.
 */
final class Isolation {
  private Isolation() {}

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

  /** Takes the answer of this entry's event loops, for an own reservation or for another's. */
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

  /** Closes the engines that another entry reserves; an older notice changes nothing. */
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
    Map<Incarnation, RemoteReservations> closed = new HashMap<>(state.remoteReservations);
    closed.put(from, new RemoteReservations(notice.getNumber(), engines));
    SuspicionState next =
        resolveConflicts(state.withRemoteReservations(closed), from, engines, actions);
    return next.ownReservations.size() == state.ownReservations.size()
        ? next
        : announceReservations(next, nowMs, actions);
  }

  /** Gives suspects their engines once nobody has an unproven request there. */
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

  /** Asks the event loops again where an own reservation waits for them. */
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

  /** Gives up the reservation of an engine that crashed. */
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

  /** Tells all entries which engines are reserved now. */
  private static SuspicionState announceReservations(
      SuspicionState state, long nowMs, List<SuspicionAction> actions) {
    SuspicionNotice notice = NoticeDelivery.newNotice(state, "", List.of(), List.of(), List.of());
    return NoticeDelivery.send(state, state.live, notice, List.of(), false, nowMs, actions);
  }

  static SuspicionState release(SuspicionState state, String fingerprint) {
    Map<String, Reservation> own = new TreeMap<>(state.ownReservations);
    own.values().removeIf(reservation -> reservation.fingerprint().equals(fingerprint));
    return state.withOwnReservations(own);
  }

  /** Of two entries that want one engine at the same time, the one that sorts first gets it. */
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
