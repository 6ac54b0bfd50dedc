package io.samphiregauge.daemon.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.samphiregauge.net.HttpServer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against unbounded buffering of a response for a caller that does not read. */
class SlowCallerTest {
  private static final int PART_BYTES = 64 * 1024;
  private static final int PARTS = 1_024;
  private static final int MAX_CHECKS = 10_000;
  // Netty's high-water mark of 64 KiB, plus one read of 64 KiB and the chunk framing.
  private static final int MAX_PENDING_BYTES = 192 * 1024;

  @Test
  void boundsTheOutboundBufferOfASlowCaller() throws Exception {
    NioEventLoopGroup loops = new NioEventLoopGroup(1);
    HttpServer backend =
        HttpServer.start(loops, TestEntry.ANY, 16_384, SlowCallerTest::handlers)
            .value()
            .orElseThrow();
    try (TestEntry entry =
            new TestEntry(
                "vm1", 1, 50, List.of(TestEntry.service("n1", "news", backend.address())));
        RawCaller caller = entry.caller()) {
      caller.send(RawCaller.request("GET", "/v1/services/news/all", "", ""));
      for (int i = 0; i < MAX_CHECKS && pauses(entry) == 0; i++) {
        TimeUnit.MILLISECONDS.sleep(1);
      }
      assertThat(pauses(entry)).isPositive();
      RawCaller.Response response = caller.read();
      assertThat(response.complete()).isTrue();
      assertThat(response.body()).hasSize(PARTS * PART_BYTES);
      assertThat(entry.server.metrics().maxPendingBytes()).isLessThan(MAX_PENDING_BYTES);
    } finally {
      backend.close();
      loops.shutdownGracefully();
    }
  }

  private static long pauses(TestEntry entry) {
    return entry.server.metrics().count("reads_paused_for_slow_callers");
  }

  private static ChannelHandler[] handlers() {
    return new ChannelHandler[] {new HttpObjectAggregator(1_024), new ContinuousWriter()};
  }

  /** Writes the response as fast as the entry reads it. */
  private static final class ContinuousWriter extends ChannelInboundHandlerAdapter {
    private int sent;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object request) {
      ReferenceCountUtil.release(request);
      var head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, (long) PARTS * PART_BYTES);
      ctx.write(head);
      writeWhileWritable(ctx);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
      writeWhileWritable(ctx);
    }

    private void writeWhileWritable(ChannelHandlerContext ctx) {
      while (sent < PARTS && ctx.channel().isWritable()) {
        sent++;
        ctx.writeAndFlush(
            new DefaultHttpContent(Unpooled.buffer(PART_BYTES).writeZero(PART_BYTES)));
        if (sent == PARTS) {
          ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        }
      }
    }
  }
}
