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
import io.samphiregauge.gateway.port.KvSource;
import java.util.Optional;

/** Makes the request that goes to a server from the one that a caller sent. */
final class OutboundRequestFactory {
  private OutboundRequestFactory() {}

  static FullHttpRequest create(
      RoutedRequest routed,
      ForwardAttempt attempt,
      Optional<KvSource> kvSource,
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
            attempt.prefillOnly() ? Optional.empty() : kvSource,
            attempt.cacheSource().map(ServerLoad::server),
            lastEventId);
    dialect.headerRewriter().accept(request.headers(), forwarding);
    return request;
  }
}
