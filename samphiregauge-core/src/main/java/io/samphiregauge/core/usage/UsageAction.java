package io.samphiregauge.core.usage;

import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.peer.UsageQuery;
import io.samphiregauge.schema.platform.UsageReport;

/** Action that a {@link UsageReporter} requests, or outcome of a report. */
public sealed interface UsageAction {
  /** Append a record to the log. */
  record Append(RecordBody body) implements UsageAction {}

  /** Request the counters of a window from an entry. */
  record Query(String peerAddress, UsageQuery query) implements UsageAction {}

  /** Send a report, if the lease is still held immediately before the report is sent. */
  record Report(long leaseToken, UsageReport report) implements UsageAction {}

  /** The platform has accepted the report of a window. */
  record Confirmed(long window, boolean late) implements UsageAction {}

  /**
   * The platform has a report of the window with different figures; an operator must resolve it.
   */
  record Conflict(long window) implements UsageAction {}
}
