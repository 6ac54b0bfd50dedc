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
 * Decides which requests are suspected of crashing engines and where they may run.
 *
 * <pre>{@code
 * var step = Suspicion.apply(state, new SuspicionEvent.Crashed(engine, digests), nowMs);
 * }</pre>
 */
public final class Suspicion {
  private Suspicion() {}

  /**
   * Applies an event; the result depends on the arguments only.
   *
   * @param state state before the event
   * @param event the event
   * @param nowMs time on the clock of the process
   * @return the state after it and what is to be done
   */
  public static Step<SuspicionState, SuspicionAction> apply(
      SuspicionState state, SuspicionEvent event, long nowMs) {
    List<SuspicionAction> actions = new ArrayList<>();
    SuspicionState next = Isolation.grant(react(state, event, nowMs, actions), actions);
    return new Step<>(next, actions);
  }

  private static SuspicionState react(
      SuspicionState state, SuspicionEvent event, long nowMs, List<SuspicionAction> actions) {
    if (event instanceof SuspicionEvent.Crashed crashed) {
      return crash(state, crashed, nowMs, actions);
    }
    if (event instanceof SuspicionEvent.NoticeReceived received) {
      return learn(state, received.from(), received.notice(), nowMs, actions);
    }
    if (event instanceof SuspicionEvent.AckReceived received) {
      return Notices.acknowledge(state, received.from(), received.ack(), actions);
    }
    if (event instanceof SuspicionEvent.LiveMembers members) {
      return meet(state, members, nowMs, actions);
    }
    if (event instanceof SuspicionEvent.IsolationWanted wanted) {
      return Isolation.want(state, wanted.fingerprint(), wanted.engines(), nowMs, actions);
    }
    if (event instanceof SuspicionEvent.EnginesChecked checked) {
      return Isolation.checked(state, checked, actions);
    }
    if (event instanceof SuspicionEvent.Finished finished) {
      return finish(state, finished, nowMs, actions);
    }
    Isolation.askAgain(state, actions);
    return Notices.resend(state.withSuspects(state.suspects.expire(nowMs)), nowMs, actions);
  }

  private static SuspicionState crash(
      SuspicionState state,
      SuspicionEvent.Crashed crashed,
      long nowMs,
      List<SuspicionAction> actions) {
    String engine = crashed.engine();
    long number = state.lastNumber + 1;
    SuspectTable suspects =
        state.suspects.crash(
            engine,
            crashed.fingerprints(),
            fingerprint -> state.isIsolated(engine, fingerprint),
            state.self,
            number,
            nowMs);
    SuspicionState next =
        Isolation.crash(state.withSuspects(suspects), engine, crashed.fingerprints(), actions);
    SuspicionNotice notice =
        Notices.notice(
            next,
            engine,
            select(next, crashed.fingerprints(), Standing.SUSPECT),
            List.of(),
            select(next, crashed.fingerprints(), Standing.CONDEMNED));
    return Notices.send(
        next, next.awaited(), notice, crashed.fingerprints(), false, nowMs, actions);
  }

  private static SuspicionState learn(
      SuspicionState state,
      Incarnation from,
      SuspicionNotice notice,
      long nowMs,
      List<SuspicionAction> actions) {
    SuspicionState next =
        state.withHeard(from).withSuspects(state.suspects.learn(notice, from, nowMs));
    SuspicionState closed = Isolation.close(next, from, notice, nowMs, actions);
    List<String> reserved = notice.getReservedEngines().orElse(List.of());
    if (reserved.isEmpty()) {
      actions.add(new SuspicionAction.Send(from, new SuspicionAck(notice.getNumber(), List.of())));
    } else {
      actions.add(new SuspicionAction.CheckEngines(from, notice.getNumber(), reserved));
    }
    return closed;
  }

  /** Tells new members all suspicions, and no longer waits for members that are gone. */
  private static SuspicionState meet(
      SuspicionState state,
      SuspicionEvent.LiveMembers members,
      long nowMs,
      List<SuspicionAction> actions) {
    Set<Incarnation> others = members.others();
    boolean same = others.equals(state.live) && members.doubtful().equals(state.doubtful);
    if (same && state.synced) {
      return state;
    }
    Set<Incarnation> joined = new HashSet<>(others);
    joined.removeAll(state.live);
    Map<Incarnation, ClosedEngines> closed = new HashMap<>(state.closed);
    SuspicionState met = state.withMembers(others, members.doubtful());
    closed.keySet().retainAll(met.awaited());
    SuspicionState next = Notices.dropMissing(met.withClosed(closed), actions);
    if (joined.isEmpty()) {
      return next;
    }
    SuspicionNotice all =
        Notices.notice(
            next,
            "",
            next.suspects.with(Standing.SUSPECT),
            List.of(),
            next.suspects.with(Standing.CONDEMNED));
    boolean reserves = next.own.values().stream().anyMatch(own -> !own.granted());
    return Notices.send(next, joined, all, List.of(), reserves, nowMs, actions);
  }

  private static SuspicionState finish(
      SuspicionState state,
      SuspicionEvent.Finished finished,
      long nowMs,
      List<SuspicionAction> actions) {
    String fingerprint = finished.fingerprint();
    SuspicionState released = Isolation.release(state, fingerprint);
    boolean clears = finished.toItsEnd() && state.standing(fingerprint) == Standing.SUSPECT;
    if (!clears && released.own.size() == state.own.size()) {
      return state;
    }
    List<String> cleared = clears ? List.of(fingerprint) : List.of();
    long number = state.lastNumber + 1;
    SuspicionState next =
        clears
            ? released.withSuspects(state.suspects.clear(fingerprint, state.self, number, nowMs))
            : released;
    SuspicionNotice notice = Notices.notice(next, "", List.of(), cleared, List.of());
    return Notices.send(next, next.live, notice, List.of(), false, nowMs, actions);
  }

  private static List<String> select(
      SuspicionState state, List<String> fingerprints, Standing standing) {
    return fingerprints.stream().filter(f -> state.standing(f) == standing).toList();
  }
}
