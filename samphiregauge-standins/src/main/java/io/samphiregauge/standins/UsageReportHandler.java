package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.ReportStatus;
import io.samphiregauge.schema.platform.UsageReport;
import io.samphiregauge.schema.standin.ReceivedReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Usage reports that arrived, the accepted ones by idempotency key. */
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
    UsageReport first = acceptedByKey.putIfAbsent(report.getIdempotencyKey(), report);
    if (first == null) {
      return ReportStatus.ACCEPTED;
    }
    return first.equals(report) ? ReportStatus.REPEATED : ReportStatus.CONFLICT;
  }
}
