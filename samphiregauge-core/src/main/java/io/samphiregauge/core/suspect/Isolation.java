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

  static SuspicionState want(
      SuspicionState state,
      String fingerprint,
      List<String> engines,
      long nowMs,
      List<SuspicionAction> actions) {
    boolean waits = state.own.values().stream().anyMatch(r -> r.fingerprint().equals(fingerprint));
    Optional<String> engine = engines.stream().filter(name -> !state.isClosed(name)).findFirst();
    if (waits || engine.isEmpty() || state.standing(fingerprint) != Standing.SUSPECT) {
      actions.add(new SuspicionAction.IsolationRefused(fingerprint));
      return state;
    }
    long number = state.lastNumber + 1;
    Map<String, Reservation> own = new TreeMap<>(state.own);
    own.put(engine.get(), new Reservation(fingerprint, number, false, false));
    SuspicionState reserved = state.withOwn(own);
    actions.add(new SuspicionAction.CheckEngines(state.self, number, List.of(engine.get())));
    SuspicionNotice notice = Notices.notice(reserved, "", List.of(), List.of(), List.of());
    return Notices.send(reserved, state.awaited(), notice, List.of(), true, nowMs, actions);
  }

  /** Takes the answer of this entry's event loops, for an own reservation or for another's. */
  static SuspicionState checked(
      SuspicionState state, SuspicionEvent.EnginesChecked event, List<SuspicionAction> actions) {
    if (!event.reservedBy().equals(state.self)) {
      SuspicionAck ack = new SuspicionAck(event.number(), busy(state, event));
      actions.add(new SuspicionAction.Send(event.reservedBy(), ack));
      return state;
    }
    Map<String, Reservation> own = new TreeMap<>(state.own);
    own.replaceAll(
        (engine, reservation) ->
            reservation.number() == event.number()
                ? reservation.checked(!event.busy().contains(engine))
                : reservation);
    return grant(state.withOwn(own), actions);
  }

  /** Closes the engines that another entry reserves; an older notice changes nothing. */
  static SuspicionState close(
      SuspicionState state,
      Incarnation from,
      SuspicionNotice notice,
      long nowMs,
      List<SuspicionAction> actions) {
    List<String> engines = notice.getReservedEngines().orElse(List.of());
    long known = Optional.ofNullable(state.closed.get(from)).map(ClosedEngines::number).orElse(0L);
    if (notice.getNumber() < known) {
      return state;
    }
    Map<Incarnation, ClosedEngines> closed = new HashMap<>(state.closed);
    closed.put(from, new ClosedEngines(notice.getNumber(), engines));
    SuspicionState next = yieldTo(state.withClosed(closed), from, engines, actions);
    return next.own.size() == state.own.size() ? next : announce(next, nowMs, actions);
  }

  /** Gives suspects their engines once nobody has an unproven request there. */
  static SuspicionState grant(SuspicionState state, List<SuspicionAction> actions) {
    if (state.own.isEmpty()) {
      return state;
    }
    Map<String, Reservation> own = new TreeMap<>(state.own);
    own.replaceAll(
        (engine, reservation) -> {
          boolean ready =
              !reservation.granted()
                  && reservation.freeHere()
                  && Notices.isReservedEverywhere(state, engine);
          if (!ready) {
            return reservation;
          }
          actions.add(new SuspicionAction.IsolationGranted(reservation.fingerprint(), engine));
          return reservation.grant();
        });
    return state.withOwn(own);
  }

  /** Asks the event loops again where an own reservation waits for them. */
  static void askAgain(SuspicionState state, List<SuspicionAction> actions) {
    state.own.forEach(
        (engine, reservation) -> {
          if (!reservation.freeHere()) {
            actions.add(
                new SuspicionAction.CheckEngines(
                    state.self, reservation.number(), List.of(engine)));
          }
        });
  }

  /** Gives up the reservation of an engine that crashed. */
  static SuspicionState crash(
      SuspicionState state, String engine, List<String> crashed, List<SuspicionAction> actions) {
    Map<String, Reservation> own = new TreeMap<>(state.own);
    Optional<Reservation> reservation = Optional.ofNullable(own.remove(engine));
    reservation
        .map(Reservation::fingerprint)
        .filter(fingerprint -> !crashed.contains(fingerprint))
        .ifPresent(f -> actions.add(new SuspicionAction.IsolationRefused(f)));
    return state.withOwn(own);
  }

  /** Tells all entries which engines are reserved now. */
  private static SuspicionState announce(
      SuspicionState state, long nowMs, List<SuspicionAction> actions) {
    SuspicionNotice notice = Notices.notice(state, "", List.of(), List.of(), List.of());
    return Notices.send(state, state.live, notice, List.of(), false, nowMs, actions);
  }

  static SuspicionState release(SuspicionState state, String fingerprint) {
    Map<String, Reservation> own = new TreeMap<>(state.own);
    own.values().removeIf(reservation -> reservation.fingerprint().equals(fingerprint));
    return state.withOwn(own);
  }

  /** Of two entries that want one engine at the same time, the one that sorts first gets it. */
  private static SuspicionState yieldTo(
      SuspicionState state, Incarnation from, List<String> engines, List<SuspicionAction> actions) {
    if (PendingNotice.ORDER.compare(from, state.self) > 0) {
      return state;
    }
    Map<String, Reservation> own = new TreeMap<>(state.own);
    for (String engine : engines) {
      Optional<Reservation> mine = Optional.ofNullable(own.get(engine));
      if (mine.filter(reservation -> !reservation.granted()).isPresent()) {
        own.remove(engine);
        actions.add(new SuspicionAction.IsolationRefused(mine.get().fingerprint()));
      }
    }
    return state.withOwn(own);
  }

  private static List<String> busy(SuspicionState state, SuspicionEvent.EnginesChecked event) {
    List<String> busy = new ArrayList<>(event.busy());
    List<String> reserved =
        Optional.ofNullable(state.closed.get(event.reservedBy()))
            .map(ClosedEngines::engines)
            .orElse(List.of());
    reserved.stream()
        .filter(engine -> state.own.containsKey(engine) && !busy.contains(engine))
        .forEach(busy::add);
    return busy;
  }
}
