package io.samphiregauge.bench;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.HttpServer;
import java.nio.charset.StandardCharsets;

/** A backend server that responds to each request at once with the same short stream of tokens. */
final class FixedBackend {
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int TOKENS = 4;

  private FixedBackend() {}

  static HttpServer start(EventLoopGroup loops, Address address) {
    ByteBuf body = Unpooled.unreleasableBuffer(Unpooled.directBuffer());
    for (int i = 0; i < TOKENS; i++) {
      String event = "data: {\"index\":%d,\"text\":\"token \"}\n\n".formatted(i);
      body.writeCharSequence(event, StandardCharsets.US_ASCII);
    }
    body.writeCharSequence("data: [DONE]\n\n", StandardCharsets.US_ASCII);
    return HttpServer.start(
            loops,
            address,
            MAX_HEADER_BYTES,
            () ->
                new ChannelHandler[] {new HttpObjectAggregator(MAX_BODY_BYTES), new Handler(body)})
        .value()
        .orElseThrow();
  }

  private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final ByteBuf body;

    Handler(ByteBuf body) {
      this.body = body;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      var response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body.duplicate());
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
      HttpUtil.setTransferEncodingChunked(response, true);
      ctx.writeAndFlush(response);
    }
  }
}
