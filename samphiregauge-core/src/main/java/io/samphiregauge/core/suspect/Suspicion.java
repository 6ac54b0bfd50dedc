package io.samphiregauge.core.suspect;

import io.samphiregauge.core.Step;
import io.samphiregauge.schema.peer.SuspicionAck;
import io.samphiregauge.schema.peer.SuspicionNotice;
import io.samphiregauge.schema.record.Incarnation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * State machine that decides which requests are suspected of crashing engines, and on which engines
 * they may run.
 *
 * <pre>{@code
 * var step = Suspicion.handle(state, new SuspicionEvent.Crashed(engine, digests), nowMs);
 * }</pre>
 */
public final class Suspicion {
  private Suspicion() {}

  /**
   * Handles an event. The result depends only on the arguments.
   *
   * @param state state before the event
   * @param event the event
   * @param nowMs time on the clock of the process
   * @return the next state, and the actions to perform
   */
  public static Step<SuspicionState, SuspicionAction> handle(
      SuspicionState state, SuspicionEvent event, long nowMs) {
    List<SuspicionAction> actions = new ArrayList<>();
    SuspicionState next = Isolation.grantReady(dispatch(state, event, nowMs, actions), actions);
    return new Step<>(next, actions);
  }

  private static SuspicionState dispatch(
      SuspicionState state, SuspicionEvent event, long nowMs, List<SuspicionAction> actions) {
    if (event instanceof SuspicionEvent.Crashed crashed) {
      return onCrashed(state, crashed, nowMs, actions);
    }
    if (event instanceof SuspicionEvent.NoticeReceived received) {
      return onNotice(state, received.from(), received.notice(), nowMs, actions);
    }
    if (event instanceof SuspicionEvent.AckReceived received) {
      return NoticeDelivery.acknowledge(state, received.from(), received.ack(), actions);
    }
    if (event instanceof SuspicionEvent.MembersChanged members) {
      return onMembersChanged(state, members, nowMs, actions);
    }
    if (event instanceof SuspicionEvent.IsolationRequested request) {
      return Isolation.reserve(state, request.fingerprint(), request.engines(), nowMs, actions);
    }
    if (event instanceof SuspicionEvent.EnginesChecked checked) {
      return Isolation.onEnginesChecked(state, checked, actions);
    }
    if (event instanceof SuspicionEvent.Finished finished) {
      return onFinished(state, finished, nowMs, actions);
    }
    Isolation.recheckEngines(state, actions);
    return NoticeDelivery.resend(
        state.withSuspicions(state.suspicions.withoutExpired(nowMs)), nowMs, actions);
  }

  private static SuspicionState onCrashed(
      SuspicionState state,
      SuspicionEvent.Crashed crashed,
      long nowMs,
      List<SuspicionAction> actions) {
    String engine = crashed.engine();
    long number = state.lastNoticeNumber + 1;
    SuspicionTable suspicions =
        state.suspicions.withCrash(
            engine,
            crashed.fingerprints(),
            fingerprint -> state.isIsolated(engine, fingerprint),
            state.self,
            number,
            nowMs);
    SuspicionState next =
        Isolation.onEngineCrashed(
            state.withSuspicions(suspicions), engine, crashed.fingerprints(), actions);
    SuspicionNotice notice =
        NoticeDelivery.newNotice(
            next,
            engine,
            filterByLevel(next, crashed.fingerprints(), SuspicionLevel.SUSPECT),
            List.of(),
            filterByLevel(next, crashed.fingerprints(), SuspicionLevel.BLOCKED));
    return NoticeDelivery.send(
        next, next.expectedAcknowledgers(), notice, crashed.fingerprints(), false, nowMs, actions);
  }

  private static SuspicionState onNotice(
      SuspicionState state,
      Incarnation from,
      SuspicionNotice notice,
      long nowMs,
      List<SuspicionAction> actions) {
    SuspicionState next =
        state.withNoticeFrom(from).withSuspicions(state.suspicions.withNotice(notice, from, nowMs));
    SuspicionState updated = Isolation.applyRemoteReservations(next, from, notice, nowMs, actions);
    List<String> reserved = notice.getReservedEngines().orElse(List.of());
    if (reserved.isEmpty()) {
      actions.add(new SuspicionAction.Send(from, new SuspicionAck(notice.getNumber(), List.of())));
    } else {
      actions.add(new SuspicionAction.CheckEngines(from, notice.getNumber(), reserved));
    }
    return updated;
  }

  /** Sends all suspicions to new members, and stops waiting for departed ones. */
  private static SuspicionState onMembersChanged(
      SuspicionState state,
      SuspicionEvent.MembersChanged members,
      long nowMs,
      List<SuspicionAction> actions) {
    Set<Incarnation> others = members.live();
    boolean unchanged =
        others.equals(state.live) && members.presumedDead().equals(state.presumedDead);
    if (unchanged && state.synced) {
      return state;
    }
    Set<Incarnation> joined = new HashSet<>(others);
    joined.removeAll(state.live);
    Map<Incarnation, RemoteReservations> reservations = new HashMap<>(state.remoteReservations);
    SuspicionState updated = state.withMembers(others, members.presumedDead());
    reservations.keySet().retainAll(updated.expectedAcknowledgers());
    SuspicionState next =
        NoticeDelivery.dropDeparted(updated.withRemoteReservations(reservations), actions);
    if (joined.isEmpty()) {
      return next;
    }
    SuspicionNotice summary =
        NoticeDelivery.newNotice(
            next,
            "",
            next.suspicions.fingerprintsAt(SuspicionLevel.SUSPECT),
            List.of(),
            next.suspicions.fingerprintsAt(SuspicionLevel.BLOCKED));
    boolean requestsReservation =
        next.ownReservations.values().stream().anyMatch(own -> !own.granted());
    return NoticeDelivery.send(
        next, joined, summary, List.of(), requestsReservation, nowMs, actions);
  }

  private static SuspicionState onFinished(
      SuspicionState state,
      SuspicionEvent.Finished finished,
      long nowMs,
      List<SuspicionAction> actions) {
    String fingerprint = finished.fingerprint();
    SuspicionState released = Isolation.release(state, fingerprint);
    boolean clearsSuspicion =
        finished.completed() && state.level(fingerprint) == SuspicionLevel.SUSPECT;
    if (!clearsSuspicion && released.ownReservations.size() == state.ownReservations.size()) {
      return state;
    }
    List<String> cleared = clearsSuspicion ? List.of(fingerprint) : List.of();
    long number = state.lastNoticeNumber + 1;
    SuspicionState next =
        clearsSuspicion
            ? released.withSuspicions(
                state.suspicions.withCleared(fingerprint, state.self, number, nowMs))
            : released;
    SuspicionNotice notice = NoticeDelivery.newNotice(next, "", List.of(), cleared, List.of());
    return NoticeDelivery.send(next, next.live, notice, List.of(), false, nowMs, actions);
  }

  private static List<String> filterByLevel(
      SuspicionState state, List<String> fingerprints, SuspicionLevel level) {
    return fingerprints.stream().filter(f -> state.level(f) == level).toList();
  }
}
