package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.LoadReport;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;

/** Stores snapshots of the load of an engine, from which delayed load reports are created. */
final class LoadReportHistory {
  private static final int MAX_SNAPSHOTS = 4_096;

  private final Deque<Snapshot> snapshots = new ArrayDeque<>();

  /** Creates a load report with the given age in milliseconds. */
  @FunctionalInterface
  interface ReportFactory extends Function<Long, LoadReport> {}

  private record Snapshot(ReportFactory factory, long takenMs) {}

  /** Adds a snapshot of the current load; called after each change. */
  void add(ReportFactory factory, long nowMs) {
    snapshots.addLast(new Snapshot(factory, nowMs));
    if (snapshots.size() > MAX_SNAPSHOTS) {
      snapshots.removeFirst();
    }
  }

  /**
   * Returns a report of the newest snapshot that is at least as old as the lag, or of the oldest
   * snapshot if all are newer.
   */
  LoadReport laggedReport(long nowMs, long lagMs) {
    Snapshot selected = snapshots.getFirst();
    for (Snapshot snapshot : snapshots) {
      if (nowMs - snapshot.takenMs() < lagMs) {
        break;
      }
      selected = snapshot;
    }
    return selected.factory().apply(lagMs);
  }
}
