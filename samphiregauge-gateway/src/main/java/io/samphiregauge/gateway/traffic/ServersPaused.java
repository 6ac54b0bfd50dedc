package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.result.Failure;

/**
 * Every server that could serve a request has asked for a pause.
 *
 * @param untilMs monotonic time in milliseconds at which the first of them may be used again
 */
record ServersPaused(long untilMs) implements Failure {
  /** Returns the time until then, in milliseconds, at least 1. */
  long waitMs(long nowMs) {
    return Math.max(1, untilMs - nowMs);
  }

  /** Returns the refusal of a request for this reason. */
  ErrorResponse asError(long nowMs) {
    return ErrorResponse.notRun(type(), message(), waitMs(nowMs));
  }

  @Override
  public String type() {
    return "servers_paused";
  }

  @Override
  public String message() {
    return "Every server of the service has asked for a pause.";
  }
}
