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

/** Writes an answer of server-sent events. */
final class EventStream {
  private final Channel channel;

  private EventStream(Channel channel) {
    this.channel = channel;
  }

  /** Writes the head of the answer. */
  static EventStream open(Channel channel) {
    var head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    head.headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
        .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    channel.writeAndFlush(head);
    return new EventStream(channel);
  }

  void token(int index, String text) {
    String quoted = new String(Codec.json().encode(text), StandardCharsets.UTF_8);
    channel.writeAndFlush(event("{\"index\":%d,\"text\":%s}".formatted(index, quoted)));
  }

  void end() {
    channel.write(event("[DONE]"));
    channel.writeAndFlush(new DefaultLastHttpContent());
  }

  boolean isWritable() {
    return channel.isWritable();
  }

  private static DefaultHttpContent event(String data) {
    byte[] bytes = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    return new DefaultHttpContent(Unpooled.wrappedBuffer(bytes));
  }
}
