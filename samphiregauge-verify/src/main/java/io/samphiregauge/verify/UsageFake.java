package io.samphiregauge.verify;

import io.samphiregauge.schema.platform.ReportStatus;
import io.samphiregauge.schema.platform.UsageReport;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The platform's interface for usage reports; it knows repeats by their key. */
final class UsageFake {
  private final World world;
  private final Map<Long, UsageReport> byKey = new HashMap<>();

  UsageFake(World world) {
    this.world = world;
  }

  ReportStatus take(UsageReport report) {
    world.trace(
        () -> "usage window %d key %d".formatted(report.getWindow(), report.getIdempotencyKey()));
    world.observe(new Observation.ReportArrived(report));
    return Optional.ofNullable(byKey.putIfAbsent(report.getIdempotencyKey(), report))
        .map(first -> first.equals(report) ? ReportStatus.REPEATED : ReportStatus.CONFLICT)
        .orElse(ReportStatus.ACCEPTED);
  }
}
