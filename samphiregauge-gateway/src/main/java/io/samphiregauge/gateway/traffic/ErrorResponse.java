package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.admit.Refusal;
import io.samphiregauge.core.result.Failure;

/**
 * An error response that the gateway itself sends to a caller.
 *
 * @param status HTTP status
 * @param type machine-readable type of the failure
 * @param message human-readable description
 * @param retryAfterMs delay before a retry in milliseconds; 0 sends no Retry-After header
 */
record ErrorResponse(int status, String type, String message, long retryAfterMs)
    implements Failure {
  private static final String SERVER_FULL = "server_full";
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  /** Returns a 503: the request has not run and will not run, and the caller may retry it. */
  static ErrorResponse notRun(String type, String message, long retryAfterMs) {
    return new ErrorResponse(UNAVAILABLE, type, message, retryAfterMs);
  }

  /** Returns a 503: the server that was chosen has rejected the request. */
  static ErrorResponse serverFull(long retryAfterMs) {
    return notRun(SERVER_FULL, "The server rejected the request.", retryAfterMs);
  }

  /** Returns whether the servers lack room; a refused caller then waits for its turn to return. */
  boolean isLackOfRoom() {
    return type.equals(SERVER_FULL) || type.equals(Refusal.Overloaded.TYPE);
  }

  /** Returns a 502: the request may have run. */
  static ErrorResponse outcomeUnknown(String type, String message) {
    return new ErrorResponse(BAD_GATEWAY, type, message, 0);
  }

  /** Returns this error for a request that may have run: a 503 becomes a 502. */
  ErrorResponse asOutcomeUnknown() {
    return status == UNAVAILABLE ? outcomeUnknown(type, message) : this;
  }

  /** Returns this error as a 503, for a request that no server has run or will run. */
  ErrorResponse asNotRun(long minRetryAfterMs) {
    return notRun(type, message, Math.max(minRetryAfterMs, retryAfterMs));
  }

  /** Returns a 504: the deadline has passed, and the request may have run. */
  static ErrorResponse timedOut(String message) {
    return new ErrorResponse(GATEWAY_TIMEOUT, "timeout", message, 0);
  }
}
