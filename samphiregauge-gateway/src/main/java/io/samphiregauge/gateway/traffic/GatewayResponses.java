package io.samphiregauge.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/** Creates heads and error responses for callers, and filters hop-by-hop headers. */
final class GatewayResponses {
  private static final double MS_PER_S = 1_000;
  private static final List<String> HOP_BY_HOP_HEADERS =
      List.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private GatewayResponses() {}

  /** Sends an error response as JSON, with a Retry-After header if it names a delay. */
  static void sendError(ChannelHandlerContext caller, ErrorResponse error) {
    String json =
        "{\"error\":{\"type\":\"%s\",\"message\":\"%s\"}}"
            .formatted(error.type(), error.message().replace("\"", "'"));
    ByteBuf body = Unpooled.copiedBuffer(json, StandardCharsets.UTF_8);
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(error.status()), body);
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    if (error.retryAfterMs() > 0) {
      response
          .headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              String.format(Locale.ROOT, "%.3f", error.retryAfterMs() / MS_PER_S));
    }
    caller.writeAndFlush(response);
  }

  /** Returns a copy of a response head without hop-by-hop headers. */
  static HttpResponse copyHead(HttpResponse serverHead) {
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, serverHead.status());
    head.headers().set(serverHead.headers());
    removeHopByHopHeaders(head.headers());
    return head;
  }

  /** Removes hop-by-hop headers, including those that the Connection header lists. */
  static void removeHopByHopHeaders(HttpHeaders headers) {
    for (String connectionValue : headers.getAllAsString(HttpHeaderNames.CONNECTION)) {
      for (String name : connectionValue.split(",", -1)) {
        if (!name.isBlank() && !name.trim().equalsIgnoreCase("close")) {
          headers.remove(name.trim());
        }
      }
    }
    HOP_BY_HOP_HEADERS.forEach(headers::remove);
  }
}
