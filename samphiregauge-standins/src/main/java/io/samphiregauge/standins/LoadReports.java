package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.LoadReport;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;

/** Load reports that lag: the answer is the state as it was some time ago. */
final class LoadReports {
  private static final int MAX_KEPT_REPORTS = 4_096;

  private final Deque<Timed> reports = new ArrayDeque<>();

  /** Makes a report that says how old it is. */
  @FunctionalInterface
  interface Aged extends Function<Long, LoadReport> {}

  private record Timed(Aged report, long atMs) {}

  /** Keeps the state of now; called at each change of the load. */
  void keep(Aged report, long nowMs) {
    reports.addLast(new Timed(report, nowMs));
    if (reports.size() > MAX_KEPT_REPORTS) {
      reports.removeFirst();
    }
  }

  /** Returns the newest state that is at least as old as the lag, or the oldest one. */
  LoadReport answer(long nowMs, long lagMs) {
    Timed chosen = reports.getFirst();
    for (Timed report : reports) {
      if (nowMs - report.atMs() < lagMs) {
        break;
      }
      chosen = report;
    }
    return chosen.report().apply(lagMs);
  }
}
