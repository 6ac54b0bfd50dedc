package io.samphiregauge.gateway.traffic;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.samphiregauge.gateway.port.Dialect;
import io.samphiregauge.gateway.port.ResponseMeta;

/** Distinguishes the response to a request from late copies of other responses. */
final class ResponseMatcher {
  private ResponseMatcher() {}

  /**
   * Returns whether a response belongs to a request. Servers name the attempt that they respond to,
   * so a sealed success without a name may be the copy of an earlier one. So may a rejection or
   * another failure, unless it is the first response on its connection: to take it for the own one
   * would deny a run that goes on.
   *
   * @param request the request that was sent last on the connection
   * @param attempt the attempt to run it
   * @param head head of the response
   * @param dialect parses the head
   */
  static boolean matches(
      RoutedRequest request, ForwardAttempt attempt, HttpResponse head, Dialect dialect) {
    ResponseMeta meta = dialect.responseParser().apply(head);
    if (meta.attemptId().isPresent()) {
      return meta.attemptId().equals(request.meta().attemptId());
    }
    if (attempt.prefillOnly() || request.meta().attemptId().isEmpty()) {
      return true;
    }
    boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
    return success ? !meta.sealed() : !attempt.connectionReused();
  }
}
