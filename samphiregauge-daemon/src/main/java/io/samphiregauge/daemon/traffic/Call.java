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
 * @param route what routing needs to know
 * @param deadlineMs time on the clock of the process by which the answer must begin
 */
record Call(
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    ByteBuf body,
    RouteRequest route,
    OptionalLong deadlineMs) {

  boolean isForEngine() {
    return route.model().isPresent();
  }

  String target() {
    return route.model().or(route::service).orElseThrow();
  }

  String teamLabel() {
    return route.team().orElse("-");
  }

  /** Digests team, route and body. */
  String fingerprint() {
    return Fingerprint.of(teamLabel(), method.name() + ' ' + uri, ByteBufUtil.getBytes(body));
  }
}
