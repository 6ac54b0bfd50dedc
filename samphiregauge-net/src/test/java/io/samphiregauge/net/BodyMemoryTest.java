package io.samphiregauge.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against an entry that hangs because the bodies of many uploads use up its direct memory.
 */
class BodyMemoryTest {
  private static final int CAPACITY_BYTES = 1_000_000;
  private static final int LARGE_BYTES = 400_000;
  private static final HttpLimits LIMITS =
      new HttpLimits(1_024, LARGE_BYTES, 10_000, 30_000, 60_000, CAPACITY_BYTES);

  private final BodyMemory memory = new BodyMemory(CAPACITY_BYTES);
  private final List<String> handled = new ArrayList<>();
  private final List<ChannelHandlerContext> pending = new ArrayList<>();

  @Test
  void uploadsBeyondTheMemoryAreNotReadUntilOthersHaveEnded() {
    EmbeddedChannel first = upload("/1", LARGE_BYTES);
    EmbeddedChannel second = upload("/2", LARGE_BYTES);
    assertThat(handled).containsExactly("/1");
    assertThat(second.config().isAutoRead()).isFalse();
    assertThat(memory.usedBytes()).isEqualTo(LARGE_BYTES);
    respond(0);
    second.runPendingTasks();
    assertThat(handled).containsExactly("/1", "/2");
    assertThat(second.config().isAutoRead()).isTrue();
    respond(1);
    assertThat(memory.usedBytes()).isZero();
    first.finishAndReleaseAll();
    second.finishAndReleaseAll();
  }

  @Test
  void smallRequestsPassByUploadsThatWait() {
    upload("/1", LARGE_BYTES);
    upload("/waits", LARGE_BYTES);
    upload("/small", 2_000);
    send(open(), "GET /plain HTTP/1.1\r\nHost: h\r\n\r\n");
    assertThat(handled).containsExactly("/1", "/small", "/plain");
  }

  @Test
  void uploadThatFindsNoMemoryIsRefusedAndItsConnectionClosed() {
    upload("/1", LARGE_BYTES);
    EmbeddedChannel second = open();
    send(second, head("/2", LARGE_BYTES) + "x".repeat(10_000));
    second.advanceTimeBy(BodyMemoryGate.MAX_WAIT_MS, TimeUnit.MILLISECONDS);
    second.runScheduledPendingTasks();
    assertThat(handled).containsExactly("/1", "503 memory_full");
    respond(1);
    assertThat(outboundText(second)).contains("503").contains("connection: close");
    assertThat(memory.usedBytes()).isEqualTo(LARGE_BYTES);
  }

  @Test
  void callerThatLeavesWhileItWaitsHoldsNothing() {
    upload("/1", LARGE_BYTES);
    EmbeddedChannel second = upload("/2", LARGE_BYTES);
    second.close();
    respond(0);
    second.runPendingTasks();
    assertThat(handled).containsExactly("/1");
    assertThat(memory.usedBytes()).isZero();
  }

  /** A chunked body names no size, so its parts are reserved as they arrive. */
  @Test
  void chunkedBodiesShareTheMemory() {
    upload("/1", LARGE_BYTES);
    EmbeddedChannel second = open();
    send(second, "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    String chunk = Integer.toHexString(10_000) + "\r\n" + "x".repeat(10_000) + "\r\n";
    for (int i = 0; i < 39; i++) {
      send(second, chunk);
    }
    assertThat(memory.usedBytes()).isBetween((long) LARGE_BYTES, (long) CAPACITY_BYTES);
    send(second, "0\r\n\r\n");
    assertThat(handled).containsExactly("/1", "/2");
    respond(1);
    assertThat(memory.usedBytes()).isEqualTo(LARGE_BYTES);
  }

  /** A body that is larger than the memory alone must not wait for ever. */
  @Test
  void bodyLargerThanTheMemoryIsReceivedAlone() {
    BodyMemory small = new BodyMemory(1_000);
    assertThat(small.tryReserve(5_000)).isTrue();
    assertThat(small.tryReserve(1)).isFalse();
    small.release(5_000);
    assertThat(small.tryReserve(1)).isTrue();
  }

  private EmbeddedChannel open() {
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.freezeTime();
    HttpServer.addRequestHandlers(
        channel.pipeline(),
        LIMITS,
        () -> 0,
        new EventLoopLag(() -> 0),
        memory,
        new ChannelInboundHandlerAdapter() {
          @Override
          public void channelRead(ChannelHandlerContext ctx, Object message) {
            handled.add(
                message instanceof RequestError error
                    ? error.status() + " " + error.type()
                    : ((FullHttpRequest) message).uri());
            pending.add(ctx);
            ReferenceCountUtil.release(message);
          }
        });
    return channel;
  }

  private EmbeddedChannel upload(String path, int bytes) {
    EmbeddedChannel channel = open();
    send(channel, head(path, bytes));
    send(channel, "x".repeat(bytes));
    return channel;
  }

  private static String head(String path, int bytes) {
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + bytes + "\r\n\r\n";
  }

  private static void send(EmbeddedChannel channel, String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    channel.runPendingTasks();
  }

  private void respond(int index) {
    boolean refused = handled.get(index).startsWith("503");
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            refused ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    pending.get(index).writeAndFlush(response);
  }

  private static String outboundText(EmbeddedChannel channel) {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.US_ASCII));
      part.release();
    }
    return text.toString();
  }
}
