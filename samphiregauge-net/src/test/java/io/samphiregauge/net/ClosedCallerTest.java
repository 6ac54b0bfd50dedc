package io.samphiregauge.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class ClosedCallerTest {
  private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
  private final BlockingQueue<String> handledPaths = new LinkedBlockingQueue<>();

  private final class RecordingHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      handledPaths.add(request.uri());
    }
  }

  private Socket send(HttpServer server, String path) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.address().port());
    socket
        .getOutputStream()
        .write(("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.UTF_8));
    return socket;
  }

  /**
   * Guards against requests that are sent on after their callers have left: while an entry stalls,
   * callers give up, and the entry then finds their requests in its sockets.
   */
  @Test
  void requestsOfCallersThatLeftDuringAStallAreDropped() throws Exception {
    HttpServer server =
        HttpServer.start(
                loops,
                Address.parse("127.0.0.1:0").value().orElseThrow(),
                HttpLimits::defaults,
                () -> 0,
                channel -> new RecordingHandler())
            .value()
            .orElseThrow();
    CountDownLatch stalled = new CountDownLatch(1);
    CountDownLatch resume = new CountDownLatch(1);
    loops.execute(
        () -> {
          stalled.countDown();
          awaitQuietly(resume);
        });
    stalled.await();
    for (int i = 0; i < 20; i++) {
      send(server, "/left").close();
    }
    Socket waiting = send(server, "/waiting");
    resume.countDown();
    assertThat(handledPaths.poll(10, TimeUnit.SECONDS)).isEqualTo("/waiting");
    waiting.close();
    server.close();
    loops.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
    assertThat(handledPaths).isEmpty();
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
