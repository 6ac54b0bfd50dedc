package io.samphiregauge.verify;

import io.samphiregauge.schema.platform.ReportStatus;
import io.samphiregauge.schema.platform.UsageReport;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The platform's interface for usage reports; it knows repeats by their key. */
final class SimulatedUsageInterface {
  private final FaultSimulation simulation;
  private final Map<Long, UsageReport> byKey = new HashMap<>();

  SimulatedUsageInterface(FaultSimulation simulation) {
    this.simulation = simulation;
  }

  ReportStatus receive(UsageReport report) {
    simulation.trace(
        () -> "usage window %d key %d".formatted(report.getWindow(), report.getIdempotencyKey()));
    simulation.observe(new Observation.UsageReported(report));
    return Optional.ofNullable(byKey.putIfAbsent(report.getIdempotencyKey(), report))
        .map(first -> first.equals(report) ? ReportStatus.REPEATED : ReportStatus.CONFLICT)
        .orElse(ReportStatus.ACCEPTED);
  }
}
