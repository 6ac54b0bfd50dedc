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
final class Notices {
  private Notices() {}

  /**
   * Sends a notice to entries and waits for their confirmations.
   *
   * @param waiting requests whose callers wait for the confirmations
   * @param reserved whether the notice asks for a reservation
   */
  static SuspicionState send(
      SuspicionState state,
      Set<Incarnation> to,
      SuspicionNotice notice,
      List<String> waiting,
      boolean reserved,
      long nowMs,
      List<SuspicionAction> actions) {
    Set<Incarnation> missing = new TreeSet<>(PendingNotice.ORDER);
    missing.addAll(to);
    PendingNotice entry = new PendingNotice(notice, waiting, reserved, missing, nowMs, nowMs);
    missing.forEach(member -> actions.add(new SuspicionAction.Send(member, notice)));
    Map<Long, PendingNotice> next = new TreeMap<>(state.pending);
    next.put(notice.getNumber(), entry);
    return settle(state.withPending(notice.getNumber(), next), actions);
  }

  static SuspicionNotice notice(
      SuspicionState state,
      String engine,
      List<String> suspected,
      List<String> cleared,
      List<String> condemned) {
    return new SuspicionNotice(
        state.lastNumber + 1, engine, suspected, cleared, condemned, state.reservedEngines());
  }

  /** An entry that is still busy on a reserved engine is asked again. */
  static SuspicionState acknowledge(
      SuspicionState state, Incarnation from, SuspicionAck ack, List<SuspicionAction> actions) {
    boolean busy = !ack.getBusyEngines().orElse(List.of()).isEmpty();
    return settle(
        edit(
            state,
            entry -> {
              boolean confirmed =
                  entry.notice().getNumber() == ack.getNumber() && !(entry.reserved() && busy);
              return confirmed ? entry.without(from) : entry;
            }),
        actions);
  }

  static SuspicionState dropMissing(SuspicionState state, List<SuspicionAction> actions) {
    return settle(edit(state, entry -> entry.onlyAmong(state.awaited())), actions);
  }

  static SuspicionState resend(SuspicionState state, long nowMs, List<SuspicionAction> actions) {
    if (state.pending.isEmpty()) {
      return state;
    }
    SuspicionState resent =
        edit(
            state,
            entry -> {
              if (nowMs - entry.lastSentMs() < SuspicionLimits.RESEND_MS) {
                return entry;
              }
              entry
                  .missing()
                  .forEach(to -> actions.add(new SuspicionAction.Send(to, entry.notice())));
              return entry.sentAt(nowMs);
            });
    return edit(
        resent,
        entry -> {
          if (nowMs - entry.firstSentMs() < SuspicionLimits.ACK_WAIT_MS) {
            return entry;
          }
          answer(entry, false, actions);
          return entry.reserved() ? entry : entry.answered().onlyAmong(state.live);
        });
  }

  /** Tells whether all live entries have closed a reserved engine and are not busy on it. */
  static boolean isReservedEverywhere(SuspicionState state, String engine) {
    return state.pending.values().stream()
        .filter(PendingNotice::reserved)
        .flatMap(entry -> entry.notice().getReservedEngines().orElse(List.of()).stream())
        .noneMatch(engine::equals);
  }

  /** Drops what all have confirmed, and lets the callers who waited for it be answered. */
  private static SuspicionState settle(SuspicionState state, List<SuspicionAction> actions) {
    Map<Long, PendingNotice> open = new TreeMap<>();
    for (PendingNotice entry : new ArrayList<>(state.pending.values())) {
      if (entry.missing().isEmpty()) {
        answer(entry, true, actions);
      } else {
        open.put(entry.notice().getNumber(), entry);
      }
    }
    return state.withPending(state.lastNumber, open);
  }

  private static void answer(
      PendingNotice entry, boolean everywhere, List<SuspicionAction> actions) {
    if (!entry.waiting().isEmpty()) {
      actions.add(
          new SuspicionAction.CallersMayBeAnswered(
              entry.notice().getEngine(), entry.waiting(), everywhere));
    }
  }

  private static SuspicionState edit(SuspicionState state, UnaryOperator<PendingNotice> change) {
    Map<Long, PendingNotice> next = new TreeMap<>(state.pending);
    next.replaceAll((number, entry) -> change.apply(entry));
    return state.withPending(state.lastNumber, next);
  }
}
