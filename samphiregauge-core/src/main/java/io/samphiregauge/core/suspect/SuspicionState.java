package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.record.Incarnation;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** State of {@link Suspicion} on one entry; immutable. */
public final class SuspicionState {
  final Incarnation self;
  final Set<Incarnation> live;
  final Set<Incarnation> presumedDead;
  final Set<Incarnation> noticeSenders;
  final boolean synced;
  final long lastNoticeNumber;
  final SuspicionTable suspicions;
  final Map<Long, PendingNotice> pendingNotices;
  final Map<String, Reservation> ownReservations;
  final Map<Incarnation, RemoteReservations> remoteReservations;

  SuspicionState(
      Incarnation self,
      Set<Incarnation> live,
      Set<Incarnation> presumedDead,
      Set<Incarnation> noticeSenders,
      boolean synced,
      long lastNoticeNumber,
      SuspicionTable suspicions,
      Map<Long, PendingNotice> pendingNotices,
      Map<String, Reservation> ownReservations,
      Map<Incarnation, RemoteReservations> remoteReservations) {
    this.self = self;
    this.live = live;
    this.presumedDead = presumedDead;
    this.noticeSenders = noticeSenders;
    this.synced = synced;
    this.lastNoticeNumber = lastNoticeNumber;
    this.suspicions = suspicions;
    this.pendingNotices = pendingNotices;
    this.ownReservations = ownReservations;
    this.remoteReservations = remoteReservations;
  }

  /**
   * Creates the state of an entry that has just started.
   *
   * @param self incarnation of this entry
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
        SuspicionTable.EMPTY,
        Map.of(),
        Map.of(),
        Map.of());
  }

  /**
   * Returns the part of the state that traffic threads read.
   *
   * @return an immutable view
   */
  public SuspicionView view() {
    Set<String> reserved = new HashSet<>(ownReservations.keySet());
    remoteReservations.values().forEach(other -> reserved.addAll(other.engines()));
    Map<String, String> granted = new HashMap<>();
    ownReservations.forEach(
        (engine, reservation) -> {
          if (reservation.granted()) {
            granted.put(engine, reservation.fingerprint());
          }
        });
    return new SuspicionView(suspicions, reserved, granted, synced);
  }

  /** Returns the suspicion level of a request. */
  public SuspicionLevel level(String fingerprint) {
    return suspicions.level(fingerprint);
  }

  /** Returns the number of fingerprints in the table. */
  public int fingerprintCount() {
    return suspicions.size();
  }

  boolean isReserved(String engine) {
    return ownReservations.containsKey(engine)
        || remoteReservations.values().stream().anyMatch(other -> other.engines().contains(engine));
  }

  /** Returns whether a request holds a granted reservation of an engine. */
  boolean isIsolated(String engine, String fingerprint) {
    return ownReservations.containsKey(engine)
        && ownReservations.get(engine).granted()
        && ownReservations.get(engine).fingerprint().equals(fingerprint);
  }

  List<String> ownReservedEngines() {
    return ownReservations.keySet().stream().sorted().toList();
  }

  /** Replaces the members. The state is synced once all live ones have sent a notice. */
  SuspicionState withMembers(Set<Incarnation> nextLive, Set<Incarnation> nextPresumedDead) {
    Set<Incarnation> senders = new HashSet<>(noticeSenders);
    senders.retainAll(nextLive);
    boolean nextSynced = synced || senders.containsAll(nextLive);
    return new SuspicionState(
        self,
        nextLive,
        nextPresumedDead,
        senders,
        nextSynced,
        lastNoticeNumber,
        suspicions,
        pendingNotices,
        ownReservations,
        remoteReservations);
  }

  SuspicionState withNoticeFrom(Incarnation member) {
    if (synced) {
      return this;
    }
    Set<Incarnation> senders = new HashSet<>(noticeSenders);
    senders.add(member);
    boolean nextSynced = !live.isEmpty() && senders.containsAll(live);
    return new SuspicionState(
        self,
        live,
        presumedDead,
        senders,
        nextSynced,
        lastNoticeNumber,
        suspicions,
        pendingNotices,
        ownReservations,
        remoteReservations);
  }

  /** Returns the entries whose acknowledgements are required before callers get a response. */
  Set<Incarnation> expectedAcknowledgers() {
    Set<Incarnation> all = new HashSet<>(live);
    all.addAll(presumedDead);
    return all;
  }

  SuspicionState withSuspicions(SuspicionTable next) {
    return new SuspicionState(
        self,
        live,
        presumedDead,
        noticeSenders,
        synced,
        lastNoticeNumber,
        next,
        pendingNotices,
        ownReservations,
        remoteReservations);
  }

  SuspicionState withPendingNotices(long number, Map<Long, PendingNotice> next) {
    return new SuspicionState(
        self,
        live,
        presumedDead,
        noticeSenders,
        synced,
        number,
        suspicions,
        next,
        ownReservations,
        remoteReservations);
  }

  SuspicionState withOwnReservations(Map<String, Reservation> next) {
    return new SuspicionState(
        self,
        live,
        presumedDead,
        noticeSenders,
        synced,
        lastNoticeNumber,
        suspicions,
        pendingNotices,
        next,
        remoteReservations);
  }

  SuspicionState withRemoteReservations(Map<Incarnation, RemoteReservations> next) {
    return new SuspicionState(
        self,
        live,
        presumedDead,
        noticeSenders,
        synced,
        lastNoticeNumber,
        suspicions,
        pendingNotices,
        ownReservations,
        next);
  }
}
