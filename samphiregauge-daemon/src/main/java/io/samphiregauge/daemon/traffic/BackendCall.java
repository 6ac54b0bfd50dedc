package io.samphiregauge.daemon.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.samphiregauge.core.route.RouteRequest;
import io.samphiregauge.core.suspect.Fingerprint;
import java.util.OptionalLong;

/**
 * An admitted request, in the form in which it may go to any backend server.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param headers headers without the caller's key and without those of the connection
 * @param body whole body, on the heap and without an owner that must release it
 * @param routeRequest what routing needs to know
 * @param deadlineMs time on the clock of the process by which the answer must begin
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

  /** Digests team, route and body. */
  String fingerprint() {
    return Fingerprint.of(teamLabel(), method.name() + ' ' + uri, ByteBufUtil.getBytes(body));
  }
}
