package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.result.Failure;

/**
 * A response that is complete in terms of HTTP, but cannot be the complete response of the server.
 *
 * @param message the defect
 */
record InvalidServerResponse(String message) implements Failure {
  @Override
  public String type() {
    return "spoiled_answer";
  }
}
