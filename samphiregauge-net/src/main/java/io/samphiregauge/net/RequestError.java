package io.samphiregauge.net;

import io.samphiregauge.core.result.Failure;

/**
 * A request that never became whole. The connection is closed once it has been answered.
 *
 * @param status HTTP status of the answer
 * @param type type of the failure
 * @param message description for people
 */
public record RequestError(int status, String type, String message) implements Failure {}
