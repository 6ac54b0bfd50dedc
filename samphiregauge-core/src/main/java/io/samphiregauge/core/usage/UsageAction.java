package io.samphiregauge.core.usage;

import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.peer.UsageQuery;
import io.samphiregauge.schema.platform.UsageReport;

/** What the usage reporter asks for. */
public sealed interface UsageAction {
  /** Append a record. */
  record Append(RecordBody body) implements UsageAction {}

  /** Ask an entry for its counters. */
  record Query(String peerAddress, UsageQuery query) implements UsageAction {}

  /** Send a report, if the lease still allows it at the last step before the write. */
  record Report(long leaseToken, UsageReport report) implements UsageAction {}

  /** The platform has the report. */
  record Confirmed(long window, boolean late) implements UsageAction {}

  /** The platform has a report of the window with other figures; people must look into it. */
  record Conflict(long window) implements UsageAction {}
}
