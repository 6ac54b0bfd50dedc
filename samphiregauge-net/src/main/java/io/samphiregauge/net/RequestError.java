package io.samphiregauge.net;

import io.samphiregauge.core.result.Failure;

/**
 * A request that was not received as a valid, complete request. The connection is closed after the
 * error response.
 *
 * @param status HTTP status code of the response
 * @param type failure type in the response
 * @param message human-readable description
 * @param retryAfterMs delay after which the request may succeed, in milliseconds; 0 if unknown
 */
public record RequestError(int status, String type, String message, long retryAfterMs)
    implements Failure {
  /** Creates an error that a repetition of the request would not change. */
  RequestError(int status, String type, String message) {
    this(status, type, message, 0);
  }
}
