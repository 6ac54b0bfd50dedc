package io.samphiregauge.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class OneShotHttpClientTest {
  /** Guards against orders that a server receives after the lease of their sender has ended. */
  @Test
  void orderIsResetWhenItsAuthorityEnds() throws Exception {
    NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    AtomicLong remainingMs = new AtomicLong(60_000);
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      var result =
          new OneShotHttpClient(eventLoops, CloseMode.RESET)
              .postIf(
                  Address.parse("127.0.0.1:" + server.getLocalPort()).value().orElseThrow(),
                  "/v1/orders",
                  new byte[] {'{', '}'},
                  5_000,
                  () -> OptionalLong.of(remainingMs.get()));
      try (Socket socket = server.accept()) {
        InputStream in = socket.getInputStream();
        in.read();
        remainingMs.set(0);
        assertThatExceptionOfType(SocketException.class).isThrownBy(in::readAllBytes);
      }
      assertThat(result.get().failure().orElseThrow()).isInstanceOf(NetFailure.NoAnswer.class);
    } finally {
      eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }

  /** Guards against a call that never ends because its server sends nothing. */
  @Test
  void callToSilentServerFails() throws Exception {
    NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      var result =
          new OneShotHttpClient(eventLoops)
              .get(new Address("127.0.0.1", server.getLocalPort()), "/", 200);
      assertThat(result.get().failure()).containsInstanceOf(NetFailure.NoAnswer.class);
    } finally {
      eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }
}
