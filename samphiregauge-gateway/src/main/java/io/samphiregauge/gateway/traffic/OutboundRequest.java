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
final class OutboundRequest {
  private OutboundRequest() {}

  static FullHttpRequest of(
      RelayedCall call,
      Attempt attempt,
      Optional<KvSource> source,
      Optional<String> resumeAfter,
      long leftMs,
      Dialect dialect) {
    FullHttpRequest original = call.request();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            original.method(),
            original.uri(),
            original.content().retainedDuplicate());
    request.headers().set(original.headers());
    Answers.removeConnectionHeaders(request.headers());
    request.headers().remove(HttpHeaderNames.EXPECT);
    int length = original.content().readableBytes();
    if (length > 0 || !original.method().equals(HttpMethod.GET)) {
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
    ForwardingContext forwarding =
        new ForwardingContext(
            attempt.load().server(),
            leftMs,
            call.team().map(Team::name),
            call.rank(),
            attempt.prefillOnly(),
            attempt.prefillOnly() ? Optional.empty() : source,
            attempt.cacheSource().map(ServerLoad::server),
            resumeAfter);
    dialect.headerRewriter().accept(request.headers(), forwarding);
    return request;
  }
}
