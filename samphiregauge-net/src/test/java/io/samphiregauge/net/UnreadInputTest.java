package io.samphiregauge.net;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(30)
class UnreadInputTest {
  private static final String RESPONSE = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok";

  private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
  private final EventLoop loop = loops.next();
  private final HttpConnectionPool pool = new HttpConnectionPool(loop);
  private ServerSocket listener;
  private Socket server;

  @BeforeEach
  void start() throws IOException {
    listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    listener.close();
    loops.shutdownGracefully(0, 0, SECONDS);
  }

  private HttpConnection open() throws Exception {
    CompletableFuture<HttpConnection> opened = new CompletableFuture<>();
    loop.execute(
        () ->
            pool.acquire(
                new Address("127.0.0.1", listener.getLocalPort()),
                true,
                result -> opened.complete(result.value().orElseThrow())));
    HttpConnection connection = opened.get(10, SECONDS);
    server = listener.accept();
    return connection;
  }

  private void write(String text) throws IOException {
    server.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Sends a request, and answers it with the given bytes. */
  private void exchange(HttpConnection connection, HttpMethod method, String answer)
      throws Exception {
    CompletableFuture<Boolean> complete = new CompletableFuture<>();
    loop.execute(
        () ->
            connection.send(
                new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, method, "/", Unpooled.EMPTY_BUFFER),
                new ResponseListener(
                    part -> {
                      if (part instanceof LastHttpContent) {
                        complete.complete(true);
                      }
                      ReferenceCountUtil.release(part);
                    },
                    () -> {},
                    failure -> complete.complete(false))));
    RawRequests.skipHead(server.getInputStream());
    write(answer);
    assertThat(complete.get(10, SECONDS)).isTrue();
  }

  private boolean hasUnreadInput(HttpConnection connection) throws Exception {
    return loop.submit(connection::hasUnreadInput).get(10, SECONDS);
  }

  /** Guards against sound connections that are closed after each request. */
  @Test
  void quietConnectionHasNone() throws Exception {
    HttpConnection connection = open();
    exchange(connection, HttpMethod.GET, RESPONSE);
    assertThat(hasUnreadInput(connection)).isFalse();
    exchange(connection, HttpMethod.HEAD, "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n");
    assertThat(hasUnreadInput(connection)).isFalse();
    exchange(connection, HttpMethod.POST, "HTTP/1.1 100 Continue\r\n\r\n" + RESPONSE);
    assertThat(hasUnreadInput(connection)).isFalse();
    exchange(
        connection,
        HttpMethod.GET,
        "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: v\r\n\r\n");
    assertThat(hasUnreadInput(connection)).isFalse();
    exchange(connection, HttpMethod.GET, "HTTP/1.1 204 X\r\n\r\n");
    assertThat(hasUnreadInput(connection)).isFalse();
  }

  /** Guards against the start of a copy in the buffer that holds the end of the response. */
  @ParameterizedTest
  @ValueSource(strings = {"H", "HTTP/1.1 503 X\r\n", "HTTP/1.1 503 X\r\nX-Not-", "\r\n"})
  void bytesAfterTheResponseAreUnreadInput(String start) throws Exception {
    HttpConnection connection = open();
    exchange(connection, HttpMethod.GET, RESPONSE + start);
    assertThat(hasUnreadInput(connection)).isTrue();
  }

  /** Guards against an exception for a connection that is closed between its choice and its use. */
  @Test
  void closedConnectionIsNotUsed() throws Exception {
    HttpConnection connection = open();
    exchange(connection, HttpMethod.GET, RESPONSE);
    loop.submit(connection::close).get(10, SECONDS);
    assertThat(hasUnreadInput(connection)).isTrue();
  }

  /** Guards against bytes, or an end, that are in the socket while the event loop is busy. */
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", "x", ""})
  void inputThatTheEventLoopHasNotSeenIsFound(String bytes) throws Exception {
    HttpConnection connection = open();
    exchange(connection, HttpMethod.GET, RESPONSE);
    CountDownLatch written = new CountDownLatch(1);
    var found =
        loop.submit(
            () -> {
              written.await();
              return connection.hasUnreadInput();
            });
    write(bytes);
    if (bytes.isEmpty()) {
      server.close();
    }
    // Loopback delivers without a wait, but not in the same instant.
    new CountDownLatch(1).await(100, MILLISECONDS);
    written.countDown();
    assertThat(found.get(10, SECONDS)).isTrue();
  }
}
