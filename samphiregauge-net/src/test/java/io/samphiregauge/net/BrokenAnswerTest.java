package io.samphiregauge.net;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.result.Result;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against bytes that are no answer in the protocol and are taken for one. */
@Timeout(30)
class BrokenAnswerTest {
  private static final int TIMEOUT_MS = 5_000;
  private static final byte[] UPLOAD = new byte[100];

  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String BODY = "Content-Length: 2\r\n\r\nok";

  private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
  private ServerSocket server;

  @BeforeEach
  void startServer() throws IOException {
    server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    loops.shutdownGracefully(0, 0, SECONDS);
  }

  /** A client that reads answers, and returns their bodies. */
  enum Client {
    POOLED {
      @Override
      CompletableFuture<Result<String>> post(EventLoop loop, Address address, byte[] body) {
        return new PooledHttpClient(loop)
            .send(address, PooledHttpClient.Request.post("/", Map.of(), body), TIMEOUT_MS)
            .thenApply(result -> result.map(response -> text(response.body())));
      }
    },
    ONE_SHOT {
      @Override
      CompletableFuture<Result<String>> post(EventLoop loop, Address address, byte[] body) {
        return new OneShotHttpClient(loop)
            .post(address, "/", body, TIMEOUT_MS)
            .thenApply(result -> result.map(Client::text));
      }
    };

    abstract CompletableFuture<Result<String>> post(EventLoop loop, Address address, byte[] body);

    private static String text(byte[] body) {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  private static Stream<Arguments> forEachClient(String... answers) {
    return Stream.of(Client.values())
        .flatMap(client -> Stream.of(answers).map(answer -> Arguments.of(client, answer)));
  }

  private CompletableFuture<Result<String>> post(Client client, byte[] body) {
    return client.post(loops.next(), new Address("127.0.0.1", server.getLocalPort()), body);
  }

  private void assertNoAnswer(CompletableFuture<Result<String>> result) throws Exception {
    assertThat(result.get(10, SECONDS).failure()).containsInstanceOf(NetFailure.NoAnswer.class);
  }

  /** Answers one request with the given bytes, and closes the connection. */
  private CompletableFuture<Result<String>> exchange(Client client, String answer)
      throws Exception {
    CompletableFuture<Result<String>> result = post(client, UPLOAD);
    try (Socket socket = server.accept()) {
      readRequest(socket);
      OutputStream out = socket.getOutputStream();
      out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
    }
    return result;
  }

  private static void readRequest(Socket socket) throws IOException {
    RawRequests.skipHead(socket.getInputStream());
    socket.getInputStream().readNBytes(UPLOAD.length);
  }

  static Stream<Arguments> brokenStatusLines() {
    return forEachClient(
        "HTTP/1.1 000 X\r\n",
        "HTTP/1.1 099 X\r\n",
        "HTTP/1.1 600 X\r\n",
        "HTTP/1.1 999 X\r\n",
        "HTTP/1.1 20 X\r\n",
        "HTTP/1.1 2000 X\r\n",
        "HTTP/1.1 0200 X\r\n",
        "HTTP/1.1 +200 X\r\n",
        "HTTP/1.1 -200 X\r\n",
        "HTTP/1.1 2OO X\r\n",
        "HTTP/1.1\r\n",
        "HTTP/1.1  200 X\r\n",
        "HTTP/1.1 200 X\u0001Y\r\n",
        "HTTP/2.0 200 X\r\n",
        "HTTP/11 200 X\r\n",
        "http/1.1 200 X\r\n",
        "ICY/1.1 200 X\r\n",
        " HTTP/1.1 200 X\r\n",
        "\r\nHTTP/1.1 200 X\r\n",
        "\u0000HTTP/1.1 200 X\r\n");
  }

  @ParameterizedTest
  @MethodSource("brokenStatusLines")
  void brokenStatusLineIsNoAnswer(Client client, String statusLine) throws Exception {
    assertNoAnswer(exchange(client, statusLine + BODY));
  }

  /**
   * Guards against a broken answer that is skipped because its status looks like an interim one.
   */
  @ParameterizedTest
  @MethodSource("brokenStatusLines")
  void brokenStatusLineAfterInterimHeadIsNoAnswer(Client client, String statusLine)
      throws Exception {
    assertNoAnswer(exchange(client, "HTTP/1.1 102 Processing\r\n\r\n" + statusLine + BODY));
  }

  static Stream<Arguments> brokenFieldLines() {
    return forEachClient(
        "X Note: a\r\n",
        "X-Note : a\r\n",
        "X-Note\t: a\r\n",
        " X-Note: a\r\n",
        "\tX-Note: a\r\n",
        "X\tNote: a\r\n",
        "X-Note\u0000: a\r\n",
        "X\u0001Note: a\r\n",
        "X\u000bNote: a\r\n",
        "X-Note\u000b: a\r\n",
        "\u000bX-Note: a\r\n",
        "X\u007fNote: a\r\n",
        "X\u00a0Note: a\r\n",
        "X\rNote: a\r\n",
        "X(Note): a\r\n",
        ": a\r\n",
        "X-Note\r\n",
        "X Note\r\n",
        "X-Note: a\u0000b\r\n",
        "X-Note: a\u0001b\r\n",
        "X-Note: a\rb\r\n",
        "Content-Length : 2\r\n",
        "Content-Length 2: 2\r\n",
        "Content-Length\u000b: 2\r\n",
        "Transfer-Encoding : chunked\r\n");
  }

  @ParameterizedTest
  @MethodSource("brokenFieldLines")
  void brokenFieldLineIsNoAnswer(Client client, String fieldLine) throws Exception {
    assertNoAnswer(exchange(client, OK + fieldLine + BODY));
  }

  @ParameterizedTest
  @MethodSource("brokenFieldLines")
  void brokenLastFieldLineIsNoAnswer(Client client, String fieldLine) throws Exception {
    assertNoAnswer(exchange(client, OK + "X-First: a\r\n" + fieldLine + "\r\nok"));
  }

  @ParameterizedTest
  @MethodSource("brokenFieldLines")
  void brokenFieldLineOfInterimHeadIsNoAnswer(Client client, String fieldLine) throws Exception {
    assertNoAnswer(exchange(client, "HTTP/1.1 102 X\r\n" + fieldLine + "\r\n" + OK + BODY));
  }

  static Stream<Arguments> brokenLengths() {
    return forEachClient(
        "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        "Content-Length: 2, 3\r\n\r\nok",
        "Content-Length: -2\r\n\r\nok",
        "Content-Length: +2\r\n\r\nok",
        "Content-Length: 0x2\r\n\r\nok",
        "Content-Length: \r\n\r\nok",
        "Content-Length: 99999999999999999999\r\n\r\nok",
        "Content-Length: 3\r\n\r\nok");
  }

  @ParameterizedTest
  @MethodSource("brokenLengths")
  void brokenLengthIsNoAnswer(Client client, String fieldLinesAndBody) throws Exception {
    assertNoAnswer(exchange(client, OK + fieldLinesAndBody));
  }

  static Stream<Arguments> brokenChunks() {
    return forEachClient(
        "2\r\nokay\r\n0\r\n\r\n",
        "2\r\nok0\r\n\r\n",
        "2\r\nok\r\n",
        "2\r\nok\r\n0\r\n",
        "2 x\r\nok\r\n0\r\n\r\n",
        "+2\r\nok\r\n0\r\n\r\n",
        "0x2\r\nok\r\n0\r\n\r\n",
        "-2\r\nok\r\n0\r\n\r\n",
        "2\u0001\r\nok\r\n0\r\n\r\n",
        "100000000\r\n\r\n",
        "\r\n2\r\nok\r\n0\r\n\r\n",
        "2\r\nok\r\n\r\n0\r\n\r\n",
        "2\r\nok\r\n0\r\nX Note: a\r\n\r\n",
        "2\r\nok\r\n0\r\nX\u0001: a\r\n\r\n",
        "2\r\nok\r\n0\r\nX-Note\r\n\r\n");
  }

  @ParameterizedTest
  @MethodSource("brokenChunks")
  void brokenChunksAreNoAnswer(Client client, String chunks) throws Exception {
    assertNoAnswer(exchange(client, OK + "Transfer-Encoding: chunked\r\n\r\n" + chunks));
  }

  static Stream<Arguments> soundAnswers() {
    return forEachClient(
        OK + BODY,
        "HTTP/1.1 200\r\n" + BODY,
        "HTTP/1.1 200 \r\n" + BODY,
        "HTTP/1.0 200 OK\r\n" + BODY,
        "HTTP/1.1 299 Not\ta \u00fcsual reason\r\n" + BODY,
        OK + "!#$%&'*+-.^_`|~09azAZ: \t any text, \u00fc too \r\n" + BODY,
        OK + "X-Empty:\r\n" + BODY,
        OK + "\r\nok",
        "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-Note: a\r\n\r\n" + OK + BODY,
        OK + "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1;x=y\r\nk\r\n0\r\n\r\n",
        OK + "Transfer-Encoding: chunked\r\n\r\n0002\r\nok\r\n000\r\nX-Note: a\r\n\r\n",
        OK + "Transfer-Encoding: chunked\r\n\r\n2 \r\nok\r\n0\r\n\r\n");
  }

  /** Guards against sound answers that a check rejects. */
  @ParameterizedTest
  @MethodSource("soundAnswers")
  void soundAnswerIsRead(Client client, String answer) throws Exception {
    assertThat(exchange(client, answer).get(10, SECONDS).value()).contains("ok");
  }

  /** Guards against a check that depends on how the bytes of an answer are divided. */
  @ParameterizedTest
  @MethodSource("soundAnswers")
  void soundAnswerIsReadByteByByte(Client client, String answer) throws Exception {
    CompletableFuture<Result<String>> result = post(client, UPLOAD);
    try (Socket socket = server.accept()) {
      socket.setTcpNoDelay(true);
      readRequest(socket);
      for (byte b : answer.getBytes(StandardCharsets.ISO_8859_1)) {
        socket.getOutputStream().write(b);
        MILLISECONDS.sleep(1);
      }
    }
    assertThat(result.get(10, SECONDS).value()).contains("ok");
  }
}
