package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.record.Incarnation;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** State of the suspicion machine of one entry; immutable. */
public final class SuspicionState {
  final Incarnation self;
  final Set<Incarnation> live;
  final Set<Incarnation> doubtful;
  final Set<Incarnation> heard;
  final boolean synced;
  final long lastNumber;
  final SuspectTable suspects;
  final Map<Long, PendingNotice> pending;
  final Map<String, Reservation> own;
  final Map<Incarnation, ClosedEngines> closed;

  SuspicionState(
      Incarnation self,
      Set<Incarnation> live,
      Set<Incarnation> doubtful,
      Set<Incarnation> heard,
      boolean synced,
      long lastNumber,
      SuspectTable suspects,
      Map<Long, PendingNotice> pending,
      Map<String, Reservation> own,
      Map<Incarnation, ClosedEngines> closed) {
    this.self = self;
    this.live = live;
    this.doubtful = doubtful;
    this.heard = heard;
    this.synced = synced;
    this.lastNumber = lastNumber;
    this.suspects = suspects;
    this.pending = pending;
    this.own = own;
    this.closed = closed;
  }

  /**
   * Returns the state of an entry that has just started.
   *
   * @param self the process
   * @return a state without suspects
   */
  public static SuspicionState initial(Incarnation self) {
    Objects.requireNonNull(self, "self");
    return new SuspicionState(
        self,
        Set.of(),
        Set.of(),
        Set.of(),
        false,
        0,
        SuspectTable.EMPTY,
        Map.of(),
        Map.of(),
        Map.of());
  }

  /**
   * Returns what traffic threads may see.
   *
   * @return an immutable view
   */
  public SuspicionView view() {
    Set<String> closedEngines = new HashSet<>(own.keySet());
    closed.values().forEach(other -> closedEngines.addAll(other.engines()));
    Map<String, String> granted = new HashMap<>();
    own.forEach(
        (engine, reservation) -> {
          if (reservation.granted()) {
            granted.put(engine, reservation.fingerprint());
          }
        });
    return new SuspicionView(suspects, closedEngines, granted, synced);
  }

  /** Tells how a request may run. */
  public Standing standing(String fingerprint) {
    return suspects.standing(fingerprint);
  }

  /** Returns the number of fingerprints that are remembered. */
  public int size() {
    return suspects.size();
  }

  boolean isClosed(String engine) {
    return own.containsKey(engine)
        || closed.values().stream().anyMatch(other -> other.engines().contains(engine));
  }

  boolean isIsolated(String engine, String fingerprint) {
    return own.containsKey(engine)
        && own.get(engine).granted()
        && own.get(engine).fingerprint().equals(fingerprint);
  }

  List<String> reservedEngines() {
    return own.keySet().stream().sorted().toList();
  }

  SuspicionState withMembers(Set<Incarnation> nextLive, Set<Incarnation> nextDoubtful) {
    Set<Incarnation> known = new HashSet<>(heard);
    known.retainAll(nextLive);
    boolean complete = synced || known.containsAll(nextLive);
    return new SuspicionState(
        self, nextLive, nextDoubtful, known, complete, lastNumber, suspects, pending, own, closed);
  }

  SuspicionState withHeard(Incarnation member) {
    if (synced) {
      return this;
    }
    Set<Incarnation> known = new HashSet<>(heard);
    known.add(member);
    boolean complete = !live.isEmpty() && known.containsAll(live);
    return new SuspicionState(
        self, live, doubtful, known, complete, lastNumber, suspects, pending, own, closed);
  }

  /** Returns the entries that callers wait for. */
  Set<Incarnation> awaited() {
    Set<Incarnation> all = new HashSet<>(live);
    all.addAll(doubtful);
    return all;
  }

  SuspicionState withSuspects(SuspectTable next) {
    return new SuspicionState(
        self, live, doubtful, heard, synced, lastNumber, next, pending, own, closed);
  }

  SuspicionState withPending(long number, Map<Long, PendingNotice> next) {
    return new SuspicionState(
        self, live, doubtful, heard, synced, number, suspects, next, own, closed);
  }

  SuspicionState withOwn(Map<String, Reservation> next) {
    return new SuspicionState(
        self, live, doubtful, heard, synced, lastNumber, suspects, pending, next, closed);
  }

  SuspicionState withClosed(Map<Incarnation, ClosedEngines> next) {
    return new SuspicionState(
        self, live, doubtful, heard, synced, lastNumber, suspects, pending, own, next);
  }
}
