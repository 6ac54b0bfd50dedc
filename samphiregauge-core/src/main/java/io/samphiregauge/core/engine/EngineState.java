package io.samphiregauge.core.engine;

import io.samphiregauge.schema.order.EngineRole;
import java.util.ArrayDeque;
import java.util.Deque;

/** State of one engine in the book of an entry. */
final class EngineState {
  /** Weight of a report in the smoothed share of busy reports; about 4 reports decide. */
  private static final double BUSY_WEIGHT = 0.25;

  private record Change(long atMs, double prefillTokens, int sequences, double kvTokens) {}

  private final EngineProfile profile;
  private final double hopMs;
  private final Deque<Change> sinceReport = new ArrayDeque<>();
  private EngineReport report;
  private double prefillBusy;
  private double sentPrefillTokens;
  private int sentSequences;
  private double sentKvTokens;
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

  void exclude(boolean value) {
    excluded = value;
  }

  /** Takes a report, and forgets the changes that it includes already. */
  void take(EngineReport next) {
    if (next.atMs() < report.atMs()) {
      return;
    }
    report = next;
    double busy = next.queuedPrefillTokens() > 0 ? 1 : 0;
    prefillBusy += BUSY_WEIGHT * (busy - prefillBusy);
    while (!sinceReport.isEmpty() && sinceReport.peek().atMs() + hopMs <= next.atMs()) {
      Change old = sinceReport.poll();
      sentPrefillTokens -= old.prefillTokens();
      sentSequences -= old.sequences();
      sentKvTokens -= old.kvTokens();
    }
  }

  void change(long atMs, double prefillTokens, int sequences, double kvTokens) {
    sinceReport.add(new Change(atMs, prefillTokens, sequences, kvTokens));
    sentPrefillTokens += prefillTokens;
    sentSequences += sequences;
    sentKvTokens += kvTokens;
  }

  EngineView view(double cachedTokens, boolean corrected) {
    double factor = corrected ? 1 : 0;
    return new EngineView(
        profile,
        report.role(),
        Math.max(0, report.queuedPrefillTokens() + factor * sentPrefillTokens),
        Math.max(0, report.sequences() + factor * sentSequences),
        Math.max(0, report.freeKvTokens() - factor * sentKvTokens),
        prefillBusy,
        cachedTokens,
        hopMs);
  }
}
