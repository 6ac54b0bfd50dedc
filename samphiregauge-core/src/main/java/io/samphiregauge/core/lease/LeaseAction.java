package io.samphiregauge.core.lease;

import io.samphiregauge.schema.RecordBody;

/** What a lease agent asks for. */
public sealed interface LeaseAction {
  /** Append a record. */
  record Write(RecordBody body) implements LeaseAction {}

  /** The lease is held under a fencing token. */
  record Gained(long token) implements LeaseAction {}

  /** The lease expired, was taken over or was released. */
  record Lost(long token) implements LeaseAction {}
}
