package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.peer.SuspicionNotice;
import io.samphiregauge.schema.record.Incarnation;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Suspicion records by fingerprint, bounded in number; immutable. */
final class SuspicionTable {
  static final SuspicionTable EMPTY = new SuspicionTable(Map.of());

  /** Evicts lower levels before higher ones, and older records before newer ones. */
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

  /** Returns the fingerprints at a level, in lexical order. */
  List<String> fingerprintsAt(SuspicionLevel level) {
    return byFingerprint.entrySet().stream()
        .filter(entry -> entry.getValue().level() == level)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Raises the levels of the requests on an engine whose crash this process observed.
   *
   * @param isIsolated whether a fingerprint ran on the engine under a reservation
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

  /** Merges a notice of another entry. A blocked fingerprint stays blocked. */
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
        suspicion -> nowMs - suspicion.changedMs() > suspicion.retentionMs();
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
   * Blocks a request after its second crash. A crash of the engine that made the request a suspect
   * counts as the same crash, which another entry may have reported first, unless the request ran
   * isolated.
   */
  private SuspicionLevel levelAfterCrash(String fingerprint, String engine, boolean isolated) {
    SuspicionLevel previous = level(fingerprint);
    boolean sameCrash =
        !isolated && find(fingerprint).filter(s -> s.engine().equals(engine)).isPresent();
    return previous == SuspicionLevel.CLEAR || (previous == SuspicionLevel.SUSPECT && sameCrash)
        ? SuspicionLevel.SUSPECT
        : SuspicionLevel.BLOCKED;
  }

  /** Returns whether a later notice of the same sender has already set the fingerprint. */
  private boolean hasNewerNotice(String fingerprint, SuspicionNotice notice, Incarnation from) {
    return find(fingerprint)
        .filter(s -> s.origin().equals(from) && s.noticeNumber() > notice.getNumber())
        .isPresent();
  }

  private static SuspicionRecord fromNotice(
      SuspicionLevel level, SuspicionNotice notice, Incarnation from, long nowMs) {
    return new SuspicionRecord(level, notice.getEngine(), from, notice.getNumber(), nowMs);
  }

  private static SuspicionTable bounded(Map<String, SuspicionRecord> next) {
    int excess = next.size() - SuspicionLimits.MAX_FINGERPRINTS;
    if (excess > 0) {
      next.entrySet().stream()
          .sorted(EVICTION_ORDER)
          .limit(excess)
          .map(Map.Entry::getKey)
          .toList()
          .forEach(next::remove);
    }
    return new SuspicionTable(next);
  }
}
