package io.samphiregauge.core.usage;

import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.peer.UsageAnswer;
import io.samphiregauge.schema.platform.ReportStatus;
import java.util.OptionalLong;

/** Input of the usage reporter. */
public sealed interface UsageEvent {
  /**
   * Time has passed, or the folded state or the lease has changed.
   *
   * @param state folded state
   * @param token fencing token of the usage lease, or empty if this process does not hold it
   * @param wallMs wall-clock time in milliseconds since the epoch
   */
  record Tick(FoldedState state, OptionalLong token, long wallMs) implements UsageEvent {}

  /** An entry responded to {@link UsageAction.Query}. */
  record QueryResponse(UsageAnswer response) implements UsageEvent {}

  /** A record of this process was read from the log, whether accepted or rejected. */
  record ReadBack(RecordBody body) implements UsageEvent {}

  /** The platform responded to a report. */
  record ReportResponse(long window, ReportStatus status, long wallMs) implements UsageEvent {}

  /** No response to a report was received; the platform may have accepted the report. */
  record ReportOutcomeUnknown(long window) implements UsageEvent {}
}
