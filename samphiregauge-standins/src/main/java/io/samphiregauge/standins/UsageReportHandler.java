package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.ReportStatus;
import io.samphiregauge.schema.platform.UsageReport;
import io.samphiregauge.schema.standin.ReceivedReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Accepts usage reports, deduplicates them by idempotency key and records those received. */
final class UsageReportHandler {
  private final Map<Long, UsageReport> acceptedByKey = new HashMap<>();
  private final List<ReceivedReport> receivedReports = new ArrayList<>();

  ReportStatus receive(UsageReport report, long nowMs) {
    ReportStatus status = process(report);
    receivedReports.add(new ReceivedReport(nowMs, report, status));
    return status;
  }

  List<ReceivedReport> receivedReports() {
    return List.copyOf(receivedReports);
  }

  private ReportStatus process(UsageReport report) {
    UsageReport earlier = acceptedByKey.putIfAbsent(report.getIdempotencyKey(), report);
    if (earlier == null) {
      return ReportStatus.ACCEPTED;
    }
    return earlier.equals(report) ? ReportStatus.REPEATED : ReportStatus.CONFLICT;
  }
}
