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

/** One HTTP request to a stand-in and the methods that respond to it. */
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

  /** Returns an integer query parameter, or 0 if it is absent or malformed. */
  long queryNumber(String name) {
    String value = uri.parameters().getOrDefault(name, List.of("0")).get(0);
    return value.matches("-?\\d{1,18}") ? Long.parseLong(value) : 0;
  }

  /**
   * Returns whether the request carries a caller's API key, which must not reach a backend server.
   */
  boolean containsCallerKey() {
    return headers.contains(HttpHeaderNames.AUTHORIZATION) || bodyText().contains("Bearer ");
  }

  /**
   * Decodes the body and passes it to {@code consumer}, or responds with status 400 if decoding
   * fails.
   */
  <T> void decodeBody(Class<T> type, Consumer<T> consumer) {
    Result<T> decoded = Codec.json().decode(body, type);
    decoded.failure().ifPresent(this::respondBadRequest);
    decoded.value().ifPresent(consumer);
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

  /** Resets the connection without a response, as a crash does. */
  void resetConnection() {
    resetConnection(channel);
  }

  /**
   * Resets a connection on the event loop of its channel: options cannot be set on a closed socket,
   * so the check for an open channel must not race with its closing.
   */
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
