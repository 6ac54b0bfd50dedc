package io.samphiregauge.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import io.samphiregauge.core.result.Result;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against requests that a server receives after the authority of their sender has ended. */
@Timeout(20)
class PooledHttpClientTest {
  private static final int TIMEOUT_MS = 5_000;
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
  private ServerSocket server;

  @BeforeEach
  void startServer() throws IOException {
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  private CompletableFuture<Result<BufferedResponse>> send(
      CloseMode closeMode, int timeoutMs, CallAuthority authority) {
    return new PooledHttpClient(eventLoops.next(), closeMode)
        .send(
            Address.parse("127.0.0.1:" + server.getLocalPort()).value().orElseThrow(),
            PooledHttpClient.Request.empty(HttpMethod.GET, "/"),
            timeoutMs,
            authority);
  }

  @Test
  void requestIsResetWhenItsAuthorityEnds() throws Exception {
    AtomicLong remainingMs = new AtomicLong(60_000);
    var result = send(CloseMode.RESET, TIMEOUT_MS, () -> OptionalLong.of(remainingMs.get()));
    try (Socket socket = server.accept()) {
      InputStream in = socket.getInputStream();
      in.read();
      remainingMs.set(0);
      assertThatExceptionOfType(SocketException.class).isThrownBy(in::readAllBytes);
    }
    assertThat(result.get().failure().orElseThrow()).isInstanceOf(NetFailure.NoAnswer.class);
  }

  @Test
  void requestStaysOpenWhileItsAuthorityIsRenewed() throws Exception {
    AtomicLong checks = new AtomicLong();
    CallAuthority renewed =
        () -> {
          checks.incrementAndGet();
          return OptionalLong.of(50);
        };
    var result = send(CloseMode.RESET, TIMEOUT_MS, renewed);
    try (Socket socket = server.accept()) {
      while (checks.get() < 6) {
        Thread.sleep(10);
      }
      socket.getOutputStream().write(OK.getBytes(StandardCharsets.US_ASCII));
      assertThat(result.get().value().orElseThrow().status()).isEqualTo(200);
    }
  }

  @Test
  void requestIsNotWrittenAfterItsAuthorityHasEnded() throws Exception {
    var result = send(CloseMode.RESET, TIMEOUT_MS, () -> OptionalLong.of(0));
    assertThat(result.get().failure().orElseThrow()).isInstanceOf(NetFailure.Withheld.class);
    try (Socket socket = server.accept()) {
      assertThatExceptionOfType(SocketException.class).isThrownBy(socket.getInputStream()::read);
    }
  }

  /** Other requests may be delivered late, and their connections close without a reset. */
  @Test
  void connectionsCloseGracefullyByDefault() throws Exception {
    var result = send(CloseMode.GRACEFUL, 200, CallAuthority.UNLIMITED);
    try (Socket socket = server.accept()) {
      byte[] received = socket.getInputStream().readAllBytes();
      assertThat(new String(received, StandardCharsets.US_ASCII)).startsWith("GET / HTTP/1.1");
    }
    assertThat(result.get().failure().orElseThrow()).isInstanceOf(NetFailure.NoAnswer.class);
  }
}
