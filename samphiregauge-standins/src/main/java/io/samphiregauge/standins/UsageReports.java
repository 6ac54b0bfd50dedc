package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.ReportStatus;
import io.samphiregauge.schema.platform.UsageReport;
import io.samphiregauge.schema.standin.ReceivedReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Usage reports that arrived, the accepted ones by idempotency key. */
final class UsageReports {
  private final Map<Long, UsageReport> accepted = new HashMap<>();
  private final List<ReceivedReport> received = new ArrayList<>();

  ReportStatus receive(UsageReport report, long nowMs) {
    ReportStatus status = status(report);
    received.add(new ReceivedReport(nowMs, report, status));
    return status;
  }

  List<ReceivedReport> received() {
    return List.copyOf(received);
  }

  private ReportStatus status(UsageReport report) {
    UsageReport first = accepted.putIfAbsent(report.getIdempotencyKey(), report);
    if (first == null) {
      return ReportStatus.ACCEPTED;
    }
    return first.equals(report) ? ReportStatus.REPEATED : ReportStatus.CONFLICT;
  }
}
