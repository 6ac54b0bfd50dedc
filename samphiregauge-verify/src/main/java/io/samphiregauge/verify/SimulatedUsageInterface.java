package io.samphiregauge.verify;

import io.samphiregauge.schema.platform.ReportStatus;
import io.samphiregauge.schema.platform.UsageReport;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Simulates the platform's interface for usage reports, which recognizes repeats by their key. */
final class SimulatedUsageInterface {
  private final FaultSimulation simulation;
  private final Map<Long, UsageReport> byKey = new HashMap<>();

  SimulatedUsageInterface(FaultSimulation simulation) {
    this.simulation = simulation;
  }

  /** Accepts the first report with a key; a different one with the same key is a conflict. */
  ReportStatus receive(UsageReport report) {
    simulation.trace(
        () -> "usage window %d key %d".formatted(report.getWindow(), report.getIdempotencyKey()));
    simulation.observe(new Observation.UsageReported(report));
    return Optional.ofNullable(byKey.putIfAbsent(report.getIdempotencyKey(), report))
        .map(first -> first.equals(report) ? ReportStatus.REPEATED : ReportStatus.CONFLICT)
        .orElse(ReportStatus.ACCEPTED);
  }
}
