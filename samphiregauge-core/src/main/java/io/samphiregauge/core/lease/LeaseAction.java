package io.samphiregauge.core.lease;

import io.samphiregauge.schema.RecordBody;

/** Action that a {@link LeaseAgent} requests, or change of the lease that it reports. */
public sealed interface LeaseAction {
  /** Append a record to the log. */
  record Write(RecordBody body) implements LeaseAction {}

  /** The process now holds the lease under a fencing token. */
  record Gained(long token) implements LeaseAction {}

  /** The process no longer holds the lease: it expired, was claimed by another or was released. */
  record Lost(long token) implements LeaseAction {}
}
