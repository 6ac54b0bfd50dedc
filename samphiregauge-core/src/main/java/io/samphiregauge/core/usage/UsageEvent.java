package io.samphiregauge.core.usage;

import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.peer.UsageAnswer;
import io.samphiregauge.schema.platform.ReportStatus;
import java.util.OptionalLong;

/** What the usage reporter is told. */
public sealed interface UsageEvent {
  /**
   * Time passed, or the folded state or the lease changed.
   *
   * @param state folded state
   * @param token fencing token of the usage lease, where this process may act
   * @param wallMs time of day in milliseconds since 1970
   */
  record Tick(FoldedState state, OptionalLong token, long wallMs) implements UsageEvent {}

  /** An entry answered the collection of a window. */
  record QueryResponse(UsageAnswer response) implements UsageEvent {}

  /** A record of this process was read in the log, accepted or not. */
  record ReadBack(RecordBody body) implements UsageEvent {}

  /** The platform answered a report. */
  record ReportResponse(long window, ReportStatus status, long wallMs) implements UsageEvent {}

  /** No answer came; the report may have arrived. */
  record ReportOutcomeUnknown(long window) implements UsageEvent {}
}
