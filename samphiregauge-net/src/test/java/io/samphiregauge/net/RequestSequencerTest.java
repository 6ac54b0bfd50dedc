package io.samphiregauge.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against callers that send slowly, exceed the size limits, or do not send valid HTTP. */
class RequestSequencerTest {
  private static final HttpLimits LIMITS =
      new HttpLimits(1_024, 4_096, 10_000, 30_000, 60_000, 1_000_000);
  private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3}) ");

  private final List<String> handled = new ArrayList<>();
  private long nowMs;
  private EmbeddedChannel channel = open(true);

  @Test
  void rejectsHeadAfterTimeout() {
    send("GET / HTTP/1.1\r\nHo");
    advanceTime(9_999);
    assertThat(responseStatuses()).isEmpty();
    advanceTime(2);
    assertThat(handled).containsExactly("408 head_timeout");
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void rejectsSlowBodyAfterTimeoutDespiteProgress() {
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n");
    for (int i = 0; i < 30; i++) {
      send("x");
      advanceTime(1_000);
    }
    advanceTime(2);
    assertThat(handled).containsExactly("408 body_timeout");
  }

  @Test
  void hasNoTimeoutWhileResponseIsPending() {
    channel = open(false);
    send("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /ahead HTTP/1.1\r\nHo");
    advanceTime(600_000);
    assertThat(handled).containsExactly("/");
    assertThat(channel.isOpen()).isTrue();
  }

  @Test
  void closesIdleConnectionAfterTimeout() {
    send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    advanceTime(59_999);
    assertThat(channel.isOpen()).isTrue();
    advanceTime(2);
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void rejectsOversizedHeadOrBody() {
    send("GET / HTTP/1.1\r\nHost: h\r\nX: " + "x".repeat(2_000) + "\r\n\r\n");
    channel = open(true);
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
    channel = open(true);
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\nExpect: 100-continue\r\n\r\n");
    channel = open(true);
    send(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n"
            + "x".repeat(5_000));
    assertThat(handled)
        .containsExactly(
            "431 head_too_large", "413 body_too_large", "413 body_too_large", "413 body_too_large");
  }

  /**
   * Guards against request smuggling: a request whose transfer coding does not mark its end was
   * handled as one without a body, and the bytes behind its head as another request.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Transfer-Encoding: identity",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: chunked, identity",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding: chunked;q=1",
        "Transfer-Encoding:",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
        "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: identity\r\nContent-Length: 0",
        "Content-Length: 0\r\nTransfer-Encoding: gzip",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
        "transfer-ENCODING:\r\n\tgzip",
      })
  void requestBehindUnsupportedTransferCodingIsNotHandled(String framing) {
    send(
        "POST /outer HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n0\r\n\r\n".formatted(framing)
            + "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    assertThat(handled).containsExactly("400 malformed_request");
    assertThat(channel.isOpen()).isFalse();
  }

  /** Guards against an HTTP/1.0 request that a later recipient would not read as chunked. */
  @Test
  void chunkedHttp10RequestIsNotHandled() {
    send("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /x HTTP/1.0\r\n\r\n");
    assertThat(handled).containsExactly("400 malformed_request");
  }

  /** Guards against rejecting the one supported coding because of its case. */
  @Test
  void acceptsChunkedInAnyCase() {
    send("POST /1 HTTP/1.1\r\nHost: h\r\ntransfer-encoding: Chunked \r\n\r\n1\r\nx\r\n0\r\n\r\n");
    assertThat(handled).containsExactly("/1");
  }

  /**
   * Guards against a body that the caller takes for its next response: none follows the head of a
   * response to HEAD, or with status 204 or 304, whoever makes the response.
   */
  @ParameterizedTest
  @CsvSource({"HEAD,503", "HEAD,200", "HEAD,404", "GET,204", "GET,304"})
  void responseWithoutBodyIsFollowedByTheNextResponse(String method, int status) {
    channel = open(false);
    send(method + " /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    var refused =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.copiedBuffer("{\"error\":1}", StandardCharsets.UTF_8));
    refused.headers().set(HttpHeaderNames.CONTENT_LENGTH, 11);
    channel.writeOutbound(refused);
    channel.runPendingTasks();
    assertThat(handled).containsExactly("/1", "/2");
    channel.writeOutbound(ok());
    String sent = outboundText();
    assertThat(sent).doesNotContain("error");
    assertThat(sent.split("\r\n\r\n", -1)).hasSize(3);
    assertThat(refused.refCnt()).isZero();
  }

  /** Guards against chunks, or their end, behind the head of a response in parts. */
  @Test
  void headResponseInPartsHasNoBody() {
    channel = open(false);
    send("HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    channel.writeOutbound(
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK),
        new DefaultHttpContent(Unpooled.copiedBuffer("data", StandardCharsets.UTF_8)),
        LastHttpContent.EMPTY_LAST_CONTENT);
    assertThat(outboundText().split("\r\n\r\n", -1)).hasSize(2).endsWith("");
    assertThat(channel.isOpen()).isTrue();
  }

  /** Guards against an HTTP/1.0 caller that waits for a body, or whose connection stays open. */
  @Test
  void headResponseToHttp10ClosesTheConnection() {
    channel = open(true);
    send("HEAD /1 HTTP/1.0\r\n\r\n");
    assertThat(outboundText()).endsWith("\r\n\r\n");
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void queuesPipelinedRequestsAndStopsReading() {
    channel = open(false);
    send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    assertThat(handled).containsExactly("/1");
    assertThat(channel.config().isAutoRead()).isFalse();
    channel.writeOutbound(ok());
    channel.runPendingTasks();
    assertThat(handled).containsExactly("/1", "/2");
  }

  /** Truncates, repeats and changes parts of valid requests at random. */
  @Property(seed = "17", tries = 1_000)
  void sendsOneResponsePerHandledRequestForMutatedInput(@ForAll long seed) {
    Random random = new Random(seed);
    EmbeddedChannel fuzzed = open(true);
    byte[] bytes = mutate(random, randomRequests(random)).getBytes(StandardCharsets.ISO_8859_1);
    int handledBefore = handled.size();
    for (int offset = 0; offset < bytes.length && fuzzed.isOpen(); ) {
      int length = Math.min(bytes.length - offset, 1 + random.nextInt(200));
      fuzzed.writeInbound(Unpooled.copiedBuffer(bytes, offset, length));
      offset += length;
    }
    fuzzed.runPendingTasks();
    fuzzed.checkException();
    List<String> responses = statuses(fuzzed);
    assertThat(responses).hasSize(handled.size() - handledBefore);
    assertThat(responses).allMatch(status -> List.of("200", "400", "413", "431").contains(status));
    fuzzed.finishAndReleaseAll();
  }

  private static String randomRequests(Random random) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i <= random.nextInt(4); i++) {
      int size = random.nextInt(300);
      text.append("POST /v1/x HTTP/1.1\r\nHost: h\r\n");
      if (random.nextBoolean()) {
        text.append("Content-Length: ").append(size).append("\r\n\r\n").append("b".repeat(size));
      } else {
        text.append("Transfer-Encoding: chunked\r\n\r\n").append(Integer.toHexString(size + 1));
        text.append("\r\n").append("c".repeat(size + 1)).append("\r\n0\r\n\r\n");
      }
    }
    return text.toString();
  }

  private static String mutate(Random random, String text) {
    StringBuilder mutated = new StringBuilder(text);
    for (int i = 0; i < random.nextInt(6); i++) {
      int index = random.nextInt(mutated.length());
      switch (random.nextInt(4)) {
        case 0 -> mutated.setCharAt(index, (char) random.nextInt(256));
        case 1 -> mutated.setLength(Math.max(1, index));
        case 2 -> mutated.insert(index, "x".repeat(random.nextInt(2_000)));
        default -> mutated.insert(index, mutated.substring(0, random.nextInt(mutated.length())));
      }
    }
    return mutated.toString();
  }

  private EmbeddedChannel open(boolean respond) {
    EmbeddedChannel embedded = new EmbeddedChannel();
    embedded.freezeTime();
    HttpServer.addRequestHandlers(
        embedded.pipeline(),
        LIMITS,
        () -> nowMs,
        new EventLoopLag(() -> nowMs),
        new BodyMemory(LIMITS.bodyMemoryBytes()),
        new RecordingHandler(respond));
    return embedded;
  }

  private void send(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    channel.runPendingTasks();
  }

  private void advanceTime(long timeMs) {
    nowMs += timeMs;
    channel.advanceTimeBy(timeMs, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  private List<String> responseStatuses() {
    return statuses(channel);
  }

  private String outboundText() {
    return outboundText(channel);
  }

  private static String outboundText(EmbeddedChannel channel) {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.ISO_8859_1));
      part.release();
    }
    return text.toString();
  }

  private static List<String> statuses(EmbeddedChannel channel) {
    return STATUS
        .matcher(outboundText(channel))
        .results()
        .map(result -> result.group(1))
        .filter(status -> !status.equals("100"))
        .toList();
  }

  private static DefaultFullHttpResponse ok() {
    var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    return response;
  }

  /** Records each request or error, and responds to it if {@code respond} is set. */
  private final class RecordingHandler extends ChannelInboundHandlerAdapter {
    private final boolean respond;

    RecordingHandler(boolean respond) {
      this.respond = respond;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      DefaultFullHttpResponse response = ok();
      if (message instanceof RequestError error) {
        handled.add(error.status() + " " + error.type());
        response.setStatus(HttpResponseStatus.valueOf(error.status()));
      } else {
        handled.add(((FullHttpRequest) message).uri());
      }
      ReferenceCountUtil.release(message);
      if (respond) {
        ctx.writeAndFlush(response);
      } else {
        response.release();
      }
    }

    /** A caller may close the connection within a body; any other exception fails the test. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!(cause instanceof PrematureChannelClosureException)) {
        ctx.fireExceptionCaught(cause);
      }
    }
  }
}
