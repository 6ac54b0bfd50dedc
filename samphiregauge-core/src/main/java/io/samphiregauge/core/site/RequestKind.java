package io.samphiregauge.core.site;

/** The kind of the requests of a route, which determines whether they may be retried. */
public enum RequestKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request runs at most once. */
  NON_IDEMPOTENT,
  /** The response is an event stream that another server may resume after the last event. */
  RESUMABLE_STREAM,
  /** The response is an event stream that cannot be resumed; the request runs at most once. */
  SINGLE_STREAM;

  /** Returns whether a request whose outcome is unknown may be sent again. */
  public boolean isRetryable() {
    return this == IDEMPOTENT || this == RESUMABLE_STREAM;
  }

  /** Returns whether the response is an event stream. */
  public boolean isStream() {
    return this == RESUMABLE_STREAM || this == SINGLE_STREAM;
  }
}
