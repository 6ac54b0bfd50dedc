package io.samphiregauge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.HttpServer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Stand-in of a model engine: streams numbered tokens as server-sent events. */
public final class EngineStandin implements AutoCloseable {
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
  private static final int DEFAULT_TOKENS = 16;

  private final int tokenIntervalMs;
  private final HttpServer server;

  private EngineStandin(EventLoopGroup loops, Address address, int tokenIntervalMs) {
    this.tokenIntervalMs = tokenIntervalMs;
    this.server =
        HttpServer.start(loops, address, MAX_HEADER_BYTES, this::handlers)
            .value()
            .orElseThrow(() -> new StandinException("engine", address));
  }

  /**
   * Starts the stand-in.
   *
   * @param loops event loops
   * @param address address to bind
   * @param tokenIntervalMs time between two tokens of a stream
   * @return the running stand-in
   */
  public static EngineStandin start(EventLoopGroup loops, Address address, int tokenIntervalMs) {
    return new EngineStandin(loops, address, tokenIntervalMs);
  }

  /** Returns the address that entries use. */
  public Address address() {
    return server.address();
  }

  @Override
  public void close() {
    server.close();
  }

  private ChannelHandler[] handlers() {
    return new ChannelHandler[] {new HttpObjectAggregator(MAX_BODY_BYTES), new Handler()};
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      if (request.headers().contains(HttpHeaderNames.AUTHORIZATION)) {
        throw new AssertionError("a key reached the engine");
      }
      byte[] body = ByteBufUtil.getBytes(request.content());
      int tokens =
          Codec.json()
              .decodeTree(body)
              .map((JsonNode tree) -> tree.path("max_tokens").asInt(DEFAULT_TOKENS))
              .value()
              .orElse(DEFAULT_TOKENS);
      var head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      head.headers()
          .set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
          .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      ctx.writeAndFlush(head);
      sendToken(ctx, 0, tokens);
    }

    private void sendToken(ChannelHandlerContext ctx, int index, int tokens) {
      if (!ctx.channel().isActive()) {
        return;
      }
      if (index == tokens) {
        ctx.write(event("[DONE]"));
        ctx.writeAndFlush(new DefaultLastHttpContent());
        return;
      }
      ctx.writeAndFlush(event("{\"index\":%d,\"text\":\"t%d \"}".formatted(index, index)));
      ctx.executor()
          .schedule(
              () -> sendToken(ctx, index + 1, tokens), tokenIntervalMs, TimeUnit.MILLISECONDS);
    }

    private DefaultHttpContent event(String data) {
      byte[] bytes = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
      return new DefaultHttpContent(Unpooled.wrappedBuffer(bytes));
    }
  }
}
