package io.samphiregauge.core.site;

/** What a route allows to run again. */
public enum RequestKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request runs at most once. */
  NON_IDEMPOTENT,
  /** The answer is a stream of events, which may go on at another server after its last event. */
  RESUMABLE_STREAM,
  /** The answer is a stream of events that runs at most once. */
  SINGLE_STREAM;

  /** Returns whether a request whose fate is unknown may be sent again. */
  public boolean isRetryable() {
    return this == IDEMPOTENT || this == RESUMABLE_STREAM;
  }

  /** Returns whether the answer is a stream of events. */
  public boolean isStream() {
    return this == RESUMABLE_STREAM || this == SINGLE_STREAM;
  }
}
