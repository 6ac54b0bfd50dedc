package io.samphiregauge.standins;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Codec;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** One HTTP call to a stand-in, with the ways to answer it. */
final class HttpExchange {
  private final Channel channel;
  private final String method;
  private final QueryStringDecoder uri;
  private final HttpHeaders headers;
  private final byte[] body;

  HttpExchange(Channel channel, FullHttpRequest request) {
    this.channel = channel;
    this.method = request.method().name();
    this.uri = new QueryStringDecoder(request.uri());
    this.headers = request.headers().copy();
    this.body = ByteBufUtil.getBytes(request.content());
  }

  Channel channel() {
    return channel;
  }

  String method() {
    return method;
  }

  String path() {
    return uri.path();
  }

  byte[] body() {
    return body;
  }

  String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }

  Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns a number of the query, or 0 where it is absent or no number. */
  long queryNumber(String name) {
    String digits = uri.parameters().getOrDefault(name, List.of("0")).get(0);
    return digits.matches("-?\\d{1,18}") ? Long.parseLong(digits) : 0;
  }

  /** Tells whether the call carries a key of a caller, which no backend server may see. */
  boolean containsCallerKey() {
    return headers.contains(HttpHeaderNames.AUTHORIZATION) || bodyText().contains("Bearer ");
  }

  /** Decodes the body, and answers the call itself where that fails. */
  <T> void decodeBody(Class<T> type, Consumer<T> use) {
    Result<T> decoded = Codec.json().decode(body, type);
    decoded.failure().ifPresent(this::respondBadRequest);
    decoded.value().ifPresent(use);
  }

  void respondOk(Object message) {
    respond(HttpResponseStatus.OK, message);
  }

  void respond(HttpResponseStatus status, Object message) {
    byte[] bytes = Codec.json().encode(message);
    var response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  void respondBadRequest(Failure failure) {
    respond(HttpResponseStatus.BAD_REQUEST, failure.message());
  }

  void respondNotFound() {
    respond(HttpResponseStatus.NOT_FOUND, "There is no route " + method + " " + path() + ".");
  }

  /** Severs the connection without an answer, as a crash does. */
  void resetConnection() {
    resetConnection(channel);
  }

  /** Severs on the loop of the channel, since a closed socket takes no options. */
  static void resetConnection(Channel channel) {
    channel.eventLoop().execute(() -> closeWithReset(channel));
  }

  private static void closeWithReset(Channel channel) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }
}
