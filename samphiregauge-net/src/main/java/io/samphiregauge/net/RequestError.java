package io.samphiregauge.net;

import io.samphiregauge.core.result.Failure;

/**
 * A request that was not received as a valid, complete request. The connection is closed after the
 * error response.
 *
 * @param status HTTP status code of the response
 * @param type failure type in the response
 * @param message human-readable description
 */
public record RequestError(int status, String type, String message) implements Failure {}
