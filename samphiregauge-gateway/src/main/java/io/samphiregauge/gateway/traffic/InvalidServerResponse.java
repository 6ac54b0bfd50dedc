package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.result.Failure;

/**
 * An answer that arrived but cannot be the server's whole answer.
 *
 * @param message what is wrong with it
 */
record InvalidServerResponse(String message) implements Failure {
  @Override
  public String type() {
    return "spoiled_answer";
  }
}
