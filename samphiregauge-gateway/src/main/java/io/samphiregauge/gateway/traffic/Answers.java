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

/** Writes answers to callers. */
final class Answers {
  private static final double MS_PER_S = 1_000;
  private static final List<String> CONNECTION_HEADERS =
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

  private Answers() {}

  /** Answers for the gateway itself. */
  static void refuse(ChannelHandlerContext caller, Refusal refusal) {
    String json =
        "{\"error\":{\"type\":\"%s\",\"message\":\"%s\"}}"
            .formatted(refusal.type(), refusal.message().replace("\"", "'"));
    ByteBuf body = Unpooled.copiedBuffer(json, StandardCharsets.UTF_8);
    var answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(refusal.status()), body);
    answer
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    if (refusal.retryAfterMs() > 0) {
      answer
          .headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              String.format(Locale.ROOT, "%.3f", refusal.retryAfterMs() / MS_PER_S));
    }
    caller.writeAndFlush(answer);
  }

  /** Copies the head of a server's answer without what concerns only the server's connection. */
  static HttpResponse head(HttpResponse server) {
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, server.status());
    head.headers().set(server.headers());
    removeConnectionHeaders(head.headers());
    return head;
  }

  /** Removes the headers that concern one connection, and those that these name. */
  static void removeConnectionHeaders(HttpHeaders headers) {
    for (String named : headers.getAllAsString(HttpHeaderNames.CONNECTION)) {
      for (String name : named.split(",", -1)) {
        if (!name.isBlank() && !name.trim().equalsIgnoreCase("close")) {
          headers.remove(name.trim());
        }
      }
    }
    CONNECTION_HEADERS.forEach(headers::remove);
  }
}
