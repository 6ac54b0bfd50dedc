package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.LoadReport;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;

/** Load reports that lag: the answer is the state as it was some time ago. */
final class LoadReportHistory {
  private static final int MAX_SNAPSHOTS = 4_096;

  private final Deque<Snapshot> snapshots = new ArrayDeque<>();

  /** Makes a report that says how old it is. */
  @FunctionalInterface
  interface ReportFactory extends Function<Long, LoadReport> {}

  private record Snapshot(ReportFactory factory, long atMs) {}

  /** Keeps the state of now; called at each change of the load. */
  void add(ReportFactory report, long nowMs) {
    snapshots.addLast(new Snapshot(report, nowMs));
    if (snapshots.size() > MAX_SNAPSHOTS) {
      snapshots.removeFirst();
    }
  }

  /** Returns the newest state that is at least as old as the lag, or the oldest one. */
  LoadReport laggedReport(long nowMs, long lagMs) {
    Snapshot selected = snapshots.getFirst();
    for (Snapshot snapshot : snapshots) {
      if (nowMs - snapshot.atMs() < lagMs) {
        break;
      }
      selected = snapshot;
    }
    return selected.factory().apply(lagMs);
  }
}
