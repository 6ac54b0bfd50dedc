package io.samphiregauge.core.suspect;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The completions of requests by trait: those of this entry, and those that other entries reported.
 * Not thread-safe. The least recently used traits are evicted.
 */
final class CompletionHistory {
  /** Time of an event that never happened. */
  static final long NEVER = Long.MIN_VALUE / 2;

  /** Capacity in traits; about 100 bytes each. */
  static final int MAX_TRAITS = 8_192;

  private final Map<String, Completions> byTrait =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Completions> eldest) {
          return size() > MAX_TRAITS;
        }
      };

  /** The completions of one trait. */
  private static final class Completions {
    private long count;
    private long ownMs = NEVER;
    private long reportedMs = NEVER;
    private long lastReportAtMs = NEVER;
  }

  /** Records a completion of this entry. */
  void recordOwn(String trait, long nowMs) {
    Completions completions = byTrait.computeIfAbsent(trait, key -> new Completions());
    completions.count++;
    completions.ownMs = nowMs;
  }

  /** Records a completion that an entry, possibly this one, has reported to all entries. */
  void recordReported(String trait, long completedAtMs, long nowMs) {
    Completions completions = byTrait.computeIfAbsent(trait, key -> new Completions());
    completions.count++;
    completions.lastReportAtMs = nowMs;
    completions.reportedMs = Math.max(completions.reportedMs, completedAtMs);
  }

  /** Returns the time of the newest known completion, or {@link #NEVER}. */
  long newestMs(String trait) {
    return find(trait).map(c -> Math.max(c.ownMs, c.reportedMs)).orElse(NEVER);
  }

  /** Returns the time of the newest completion of this entry, or {@link #NEVER}. */
  long newestOwnMs(String trait) {
    return find(trait).map(c -> c.ownMs).orElse(NEVER);
  }

  /** Returns the time of the newest completion that all entries know, or {@link #NEVER}. */
  long newestReportedMs(String trait) {
    return find(trait).map(c -> c.reportedMs).orElse(NEVER);
  }

  /** Returns the time of the last report about a trait, or {@link #NEVER}. */
  long lastReportAtMs(String trait) {
    return find(trait).map(c -> c.lastReportAtMs).orElse(NEVER);
  }

  /** Returns the number of completions that this entry knows. */
  long count(String trait) {
    return find(trait).map(c -> c.count).orElse(0L);
  }

  int size() {
    return byTrait.size();
  }

  private Optional<Completions> find(String trait) {
    return Optional.ofNullable(byTrait.get(trait));
  }
}
