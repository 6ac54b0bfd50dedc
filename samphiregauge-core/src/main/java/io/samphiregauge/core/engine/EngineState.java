package io.samphiregauge.core.engine;

import io.samphiregauge.schema.order.EngineRole;
import java.util.ArrayDeque;
import java.util.Deque;

/** State of one engine in an entry's registry: the last report and the changes since it. */
final class EngineState {
  /** Smoothing factor of {@code prefillBusy}; averages over about 4 reports. */
  private static final double PREFILL_BUSY_WEIGHT = 0.25;

  private record Change(long recordedMs, double prefillTokens, int sequences, double kvTokens) {}

  private final EngineProfile profile;
  private final double hopMs;
  private final Deque<Change> unreportedChanges = new ArrayDeque<>();
  private EngineReport report;
  private double prefillBusy;
  private double unreportedPrefillTokens;
  private int unreportedSequences;
  private double unreportedKvTokens;
  private boolean excluded;

  EngineState(EngineProfile profile, double hopMs, EngineReport initial) {
    this.profile = profile;
    this.hopMs = hopMs;
    this.report = initial;
  }

  EngineProfile profile() {
    return profile;
  }

  EngineRole role() {
    return report.role();
  }

  boolean usable() {
    return !excluded && report.accepting();
  }

  void setExcluded(boolean value) {
    excluded = value;
  }

  /**
   * Applies a report and discards the changes that it already includes. A change takes effect at
   * the engine one hop after it was recorded.
   */
  void applyReport(EngineReport next) {
    if (next.measuredMs() < report.measuredMs()) {
      return;
    }
    report = next;
    double busy = next.queuedPrefillTokens() > 0 ? 1 : 0;
    prefillBusy += PREFILL_BUSY_WEIGHT * (busy - prefillBusy);
    while (!unreportedChanges.isEmpty()
        && unreportedChanges.peek().recordedMs() + hopMs <= next.measuredMs()) {
      Change included = unreportedChanges.poll();
      unreportedPrefillTokens -= included.prefillTokens();
      unreportedSequences -= included.sequences();
      unreportedKvTokens -= included.kvTokens();
    }
  }

  void recordChange(long recordedMs, double prefillTokens, int sequences, double kvTokens) {
    unreportedChanges.add(new Change(recordedMs, prefillTokens, sequences, kvTokens));
    unreportedPrefillTokens += prefillTokens;
    unreportedSequences += sequences;
    unreportedKvTokens += kvTokens;
  }

  EngineView view(double cachedTokens, boolean correctReport) {
    double factor = correctReport ? 1 : 0;
    return new EngineView(
        profile,
        report.role(),
        Math.max(0, report.queuedPrefillTokens() + factor * unreportedPrefillTokens),
        Math.max(0, report.sequences() + factor * unreportedSequences),
        Math.max(0, report.freeKvTokens() - factor * unreportedKvTokens),
        prefillBusy,
        cachedTokens,
        hopMs);
  }
}
