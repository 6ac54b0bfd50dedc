package io.samphiregauge.daemon.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.samphiregauge.core.route.RouteRequest;
import io.samphiregauge.core.suspect.Fingerprint;
import java.util.OptionalLong;

/**
 * An authorized request that can be sent to any backend server.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param headers headers without the caller's key and without hop-by-hop headers
 * @param body complete body, in an unpooled heap buffer that need not be released
 * @param routeRequest properties of the call that routing depends on
 * @param deadlineMs time by which the response must begin, on the monotonic clock of the process
 */
record BackendCall(
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    ByteBuf body,
    RouteRequest routeRequest,
    OptionalLong deadlineMs) {

  boolean isForEngine() {
    return routeRequest.model().isPresent();
  }

  String target() {
    return routeRequest.model().or(routeRequest::service).orElseThrow();
  }

  String teamLabel() {
    return routeRequest.team().orElse("-");
  }

  /** Returns a digest of team, method, URI and body. */
  String fingerprint() {
    return Fingerprint.of(teamLabel(), method.name() + ' ' + uri, ByteBufUtil.getBytes(body));
  }
}
