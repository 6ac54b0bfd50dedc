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
final class SuspectTable {
  static final SuspectTable EMPTY = new SuspectTable(Map.of());

  /** Suspects are dropped before condemned requests, old ones before new ones. */
  private static final Comparator<Map.Entry<String, Suspect>> DROP_ORDER =
      Comparator.<Map.Entry<String, Suspect>, Standing>comparing(e -> e.getValue().standing())
          .thenComparing(e -> e.getValue().sinceMs())
          .thenComparing(Map.Entry::getKey);

  private final Map<String, Suspect> byFingerprint;

  private SuspectTable(Map<String, Suspect> byFingerprint) {
    this.byFingerprint = byFingerprint;
  }

  Standing standing(String fingerprint) {
    return find(fingerprint).map(Suspect::standing).orElse(Standing.CLEAR);
  }

  List<String> with(Standing standing) {
    return byFingerprint.entrySet().stream()
        .filter(entry -> entry.getValue().standing() == standing)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Raises the suspicion after a crash that this process saw.
   *
   * @param isolated whether a fingerprint ran alone on the engine
   */
  SuspectTable crash(
      String engine,
      List<String> fingerprints,
      Predicate<String> isolated,
      Incarnation self,
      long number,
      long nowMs) {
    Map<String, Suspect> next = new TreeMap<>(byFingerprint);
    for (String fingerprint : fingerprints) {
      Standing standing = afterCrash(fingerprint, engine, isolated.test(fingerprint));
      next.put(fingerprint, new Suspect(standing, engine, self, number, nowMs));
    }
    return bounded(next);
  }

  SuspectTable learn(SuspicionNotice notice, Incarnation from, long nowMs) {
    Map<String, Suspect> next = new TreeMap<>(byFingerprint);
    for (String fingerprint : notice.getFingerprints()) {
      if (standing(fingerprint) == Standing.CLEAR && !clearedLater(fingerprint, notice, from)) {
        next.put(fingerprint, of(Standing.SUSPECT, notice, from, nowMs));
      }
    }
    for (String fingerprint : notice.getCleared()) {
      if (standing(fingerprint) != Standing.CONDEMNED) {
        next.put(fingerprint, of(Standing.CLEAR, notice, from, nowMs));
      }
    }
    for (String fingerprint : notice.getCondemned()) {
      next.put(fingerprint, of(Standing.CONDEMNED, notice, from, nowMs));
    }
    return bounded(next);
  }

  SuspectTable clear(String fingerprint, Incarnation self, long number, long nowMs) {
    Map<String, Suspect> next = new TreeMap<>(byFingerprint);
    next.put(fingerprint, new Suspect(Standing.CLEAR, "", self, number, nowMs));
    return bounded(next);
  }

  SuspectTable expire(long nowMs) {
    Predicate<Suspect> old = suspect -> nowMs - suspect.sinceMs() > suspect.keepMs();
    if (byFingerprint.values().stream().noneMatch(old)) {
      return this;
    }
    Map<String, Suspect> next = new TreeMap<>(byFingerprint);
    next.values().removeIf(old);
    return new SuspectTable(next);
  }

  int size() {
    return byFingerprint.size();
  }

  private Optional<Suspect> find(String fingerprint) {
    return Optional.ofNullable(byFingerprint.get(fingerprint));
  }

  /**
   * A second crash condemns, but the crash that made the request a suspect is counted once, even
   * where another entry reported it first.
   */
  private Standing afterCrash(String fingerprint, String engine, boolean isolated) {
    Standing before = standing(fingerprint);
    boolean sameCrash =
        !isolated && find(fingerprint).filter(s -> s.engine().equals(engine)).isPresent();
    return before == Standing.CLEAR || (before == Standing.SUSPECT && sameCrash)
        ? Standing.SUSPECT
        : Standing.CONDEMNED;
  }

  private boolean clearedLater(String fingerprint, SuspicionNotice notice, Incarnation from) {
    return find(fingerprint)
        .filter(known -> known.origin().equals(from) && known.number() > notice.getNumber())
        .isPresent();
  }

  private static Suspect of(
      Standing standing, SuspicionNotice notice, Incarnation from, long nowMs) {
    return new Suspect(standing, notice.getEngine(), from, notice.getNumber(), nowMs);
  }

  private static SuspectTable bounded(Map<String, Suspect> next) {
    int surplus = next.size() - SuspicionLimits.MAX_FINGERPRINTS;
    if (surplus > 0) {
      next.entrySet().stream()
          .sorted(DROP_ORDER)
          .limit(surplus)
          .map(Map.Entry::getKey)
          .toList()
          .forEach(next::remove);
    }
    return new SuspectTable(next);
  }
}
