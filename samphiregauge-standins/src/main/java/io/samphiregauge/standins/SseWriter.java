package io.samphiregauge.standins;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.samphiregauge.net.Codec;
import java.nio.charset.StandardCharsets;

/** Writes a chunked HTTP response of server-sent events, one event per token. */
final class SseWriter {
  private final Channel channel;

  private SseWriter(Channel channel) {
    this.channel = channel;
  }

  /** Writes the response head and returns a writer for the events. */
  static SseWriter open(Channel channel) {
    var head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    head.headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
        .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    channel.writeAndFlush(head);
    return new SseWriter(channel);
  }

  void writeToken(int index, String text) {
    String quoted = new String(Codec.json().encode(text), StandardCharsets.UTF_8);
    channel.writeAndFlush(encodeEvent("{\"index\":%d,\"text\":%s}".formatted(index, quoted)));
  }

  /** Writes the closing {@code [DONE]} event and ends the response. */
  void writeEnd() {
    channel.write(encodeEvent("[DONE]"));
    channel.writeAndFlush(new DefaultLastHttpContent());
  }

  boolean isWritable() {
    return channel.isWritable();
  }

  private static DefaultHttpContent encodeEvent(String data) {
    byte[] bytes = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    return new DefaultHttpContent(Unpooled.wrappedBuffer(bytes));
  }
}
