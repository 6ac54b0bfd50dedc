package io.samphiregauge.gateway.traffic;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.site.Team;
import io.samphiregauge.gateway.port.Dialect;
import io.samphiregauge.gateway.port.ForwardingContext;
import java.util.Optional;

/** Creates the request to a backend server from the request of a caller. */
final class OutboundRequestFactory {
  private OutboundRequestFactory() {}

  /**
   * Creates a request that shares the body of the caller's request.
   *
   * @param routed the caller's request
   * @param attempt the attempt, which names the server
   * @param lastEventId event after which a stream is to be resumed
   * @param remainingMs remaining time, in milliseconds
   * @param dialect writes the headers
   * @return the request, which holds a reference to the body
   */
  static FullHttpRequest create(
      RoutedRequest routed,
      ForwardAttempt attempt,
      Optional<String> lastEventId,
      long remainingMs,
      Dialect dialect) {
    FullHttpRequest callerRequest = routed.httpRequest();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            callerRequest.method(),
            callerRequest.uri(),
            callerRequest.content().retainedDuplicate());
    request.headers().set(callerRequest.headers());
    GatewayResponses.removeHopByHopHeaders(request.headers());
    request.headers().remove(HttpHeaderNames.EXPECT);
    int length = callerRequest.content().readableBytes();
    if (length > 0 || !callerRequest.method().equals(HttpMethod.GET)) {
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
    ForwardingContext forwarding =
        new ForwardingContext(
            attempt.load().server(),
            remainingMs,
            routed.team().map(Team::name),
            routed.rank(),
            attempt.prefillOnly(),
            attempt.kvSource(),
            attempt.cacheSource().map(ServerLoad::server),
            attempt.backup().map(ServerLoad::server),
            lastEventId);
    dialect.headerRewriter().accept(request.headers(), forwarding);
    return request;
  }
}
