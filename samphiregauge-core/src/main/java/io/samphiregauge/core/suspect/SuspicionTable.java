package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.peer.SuspicionNotice;
import io.samphiregauge.schema.record.Incarnation;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Suspects and condemned requests by fingerprint; immutable. */
final class SuspicionTable {
  static final SuspicionTable EMPTY = new SuspicionTable(Map.of());

  /** Suspects are dropped before condemned requests, old ones before new ones. */
  private static final Comparator<Map.Entry<String, SuspicionRecord>> EVICTION_ORDER =
      Comparator.<Map.Entry<String, SuspicionRecord>, SuspicionLevel>comparing(
              e -> e.getValue().level())
          .thenComparing(e -> e.getValue().changedMs())
          .thenComparing(Map.Entry::getKey);

  private final Map<String, SuspicionRecord> byFingerprint;

  private SuspicionTable(Map<String, SuspicionRecord> byFingerprint) {
    this.byFingerprint = byFingerprint;
  }

  SuspicionLevel level(String fingerprint) {
    return find(fingerprint).map(SuspicionRecord::level).orElse(SuspicionLevel.CLEAR);
  }

  List<String> fingerprintsAt(SuspicionLevel level) {
    return byFingerprint.entrySet().stream()
        .filter(entry -> entry.getValue().level() == level)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Raises the suspicion after a crash that this process saw.
   *
   * @param isIsolated whether a fingerprint ran alone on the engine
   */
  SuspicionTable withCrash(
      String engine,
      List<String> fingerprints,
      Predicate<String> isIsolated,
      Incarnation self,
      long number,
      long nowMs) {
    Map<String, SuspicionRecord> next = new TreeMap<>(byFingerprint);
    for (String fingerprint : fingerprints) {
      SuspicionLevel level = levelAfterCrash(fingerprint, engine, isIsolated.test(fingerprint));
      next.put(fingerprint, new SuspicionRecord(level, engine, self, number, nowMs));
    }
    return bounded(next);
  }

  SuspicionTable withNotice(SuspicionNotice notice, Incarnation from, long nowMs) {
    Map<String, SuspicionRecord> next = new TreeMap<>(byFingerprint);
    for (String fingerprint : notice.getFingerprints()) {
      if (level(fingerprint) == SuspicionLevel.CLEAR
          && !hasNewerNotice(fingerprint, notice, from)) {
        next.put(fingerprint, fromNotice(SuspicionLevel.SUSPECT, notice, from, nowMs));
      }
    }
    for (String fingerprint : notice.getCleared()) {
      if (level(fingerprint) != SuspicionLevel.BLOCKED) {
        next.put(fingerprint, fromNotice(SuspicionLevel.CLEAR, notice, from, nowMs));
      }
    }
    for (String fingerprint : notice.getCondemned()) {
      next.put(fingerprint, fromNotice(SuspicionLevel.BLOCKED, notice, from, nowMs));
    }
    return bounded(next);
  }

  SuspicionTable withCleared(String fingerprint, Incarnation self, long number, long nowMs) {
    Map<String, SuspicionRecord> next = new TreeMap<>(byFingerprint);
    next.put(fingerprint, new SuspicionRecord(SuspicionLevel.CLEAR, "", self, number, nowMs));
    return bounded(next);
  }

  SuspicionTable withoutExpired(long nowMs) {
    Predicate<SuspicionRecord> expired =
        suspect -> nowMs - suspect.changedMs() > suspect.retentionMs();
    if (byFingerprint.values().stream().noneMatch(expired)) {
      return this;
    }
    Map<String, SuspicionRecord> next = new TreeMap<>(byFingerprint);
    next.values().removeIf(expired);
    return new SuspicionTable(next);
  }

  int size() {
    return byFingerprint.size();
  }

  private Optional<SuspicionRecord> find(String fingerprint) {
    return Optional.ofNullable(byFingerprint.get(fingerprint));
  }

  /**
   * A second crash condemns, but the crash that made the request a suspect is counted once, even
   * where another entry reported it first.
   */
  private SuspicionLevel levelAfterCrash(String fingerprint, String engine, boolean isolated) {
    SuspicionLevel previous = level(fingerprint);
    boolean sameCrash =
        !isolated && find(fingerprint).filter(s -> s.engine().equals(engine)).isPresent();
    return previous == SuspicionLevel.CLEAR || (previous == SuspicionLevel.SUSPECT && sameCrash)
        ? SuspicionLevel.SUSPECT
        : SuspicionLevel.BLOCKED;
  }

  private boolean hasNewerNotice(String fingerprint, SuspicionNotice notice, Incarnation from) {
    return find(fingerprint)
        .filter(known -> known.origin().equals(from) && known.noticeNumber() > notice.getNumber())
        .isPresent();
  }

  private static SuspicionRecord fromNotice(
      SuspicionLevel level, SuspicionNotice notice, Incarnation from, long nowMs) {
    return new SuspicionRecord(level, notice.getEngine(), from, notice.getNumber(), nowMs);
  }

  private static SuspicionTable bounded(Map<String, SuspicionRecord> next) {
    int surplus = next.size() - SuspicionLimits.MAX_FINGERPRINTS;
    if (surplus > 0) {
      next.entrySet().stream()
          .sorted(EVICTION_ORDER)
          .limit(surplus)
          .map(Map.Entry::getKey)
          .toList()
          .forEach(next::remove);
    }
    return new SuspicionTable(next);
  }
}
