package io.samphiregauge.net;

import static org.assertj.core.api.Assertions.assertThat;

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
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that is handled as another one than its caller meant: legal requests are
 * split, joined and truncated, and the framing headers of one of them are changed. The number of
 * cases and the first seed are the system properties {@code fuzz.count} and {@code fuzz.first}.
 */
class RequestFuzzTest {
  private static final HttpLimits LIMITS =
      new HttpLimits(8_192, 65_536, 10_000, 30_000, 60_000, 1_000_000);
  private static final int FIRST_SEED = Integer.getInteger("fuzz.first", 1);
  private static final int CASES = Integer.getInteger("fuzz.count", 3_000);

  /** How one head is changed, and whether its request may still be handled. */
  private enum Change {
    NONE(true),
    HEADER_CASE(true),
    PADDED_VALUE(true),
    CHUNK_EXTENSION(true),
    LEADING_EMPTY_LINE(true),
    FOLDED_VALUE(true),
    SAME_LENGTH_TWICE(true),
    SPACE_BEFORE_COLON(false),
    OTHER_LENGTH_TWICE(false),
    LENGTH_AND_CODING(false),
    NEGATIVE_LENGTH(false),
    SIGNED_LENGTH(false),
    LIST_OF_LENGTHS(false),
    OTHER_CODING(false),
    TWO_HOSTS(false),
    NO_HOST(false),
    RAW_BYTE_IN_PATH(false),
    CONTROL_IN_PATH(false);

    private final boolean meaningKept;

    Change(boolean meaningKept) {
      this.meaningKept = meaningKept;
    }
  }

  private record Intended(String text, String handledAs, boolean mayBeHandled) {}

  @Test
  void handlesRequestsAsMeantOrRejectsThem() {
    for (int seed = FIRST_SEED; seed < FIRST_SEED + CASES; seed++) {
      check(seed);
    }
  }

  private static void check(int seed) {
    Random random = new Random(seed);
    int count = 1 + random.nextInt(4);
    int changed = random.nextInt(count);
    List<Intended> requests = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Change[] changes = Change.values();
      Change change = i == changed ? changes[random.nextInt(changes.length)] : Change.NONE;
      requests.add(request(random, i, change));
    }
    StringBuilder bytes = new StringBuilder();
    requests.forEach(request -> bytes.append(request.text()));
    if (random.nextInt(5) == 0) {
      bytes.setLength(random.nextInt(bytes.length()));
    }
    List<String> handled = handle(random, bytes.toString());
    List<String> expected = requests.stream().map(Intended::handledAs).toList();
    long allowed = requests.stream().takeWhile(Intended::mayBeHandled).count();
    assertThat(handled)
        .as("seed %d: %s", seed, bytes)
        .hasSizeLessThanOrEqualTo((int) allowed)
        .isEqualTo(expected.subList(0, handled.size()));
  }

  private static Intended request(Random random, int index, Change change) {
    boolean chunked =
        change == Change.CHUNK_EXTENSION || change == Change.OTHER_CODING || random.nextBoolean();
    if (change == Change.SAME_LENGTH_TWICE
        || change == Change.OTHER_LENGTH_TWICE
        || change == Change.NEGATIVE_LENGTH
        || change == Change.SIGNED_LENGTH
        || change == Change.LIST_OF_LENGTHS) {
      chunked = false;
    }
    String body = body(random);
    String path = "/r" + index;
    String framing = chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + body.length();
    String head = "POST %s HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n".formatted(path, framing);
    String text = change(head, framing, path, body, change) + payload(body, chunked, change);
    return new Intended(text, path + " " + body, change.meaningKept);
  }

  /** A body may look like a request, which must not be taken for one. */
  private static String body(Random random) {
    String smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
    return random.nextBoolean() ? smuggled : "x".repeat(random.nextInt(200));
  }

  private static String change(
      String head, String framing, String path, String body, Change change) {
    int length = body.length();
    return switch (change) {
      case NONE, CHUNK_EXTENSION -> head;
      case HEADER_CASE -> head.replace(framing, framing.toUpperCase(java.util.Locale.ROOT));
      case PADDED_VALUE -> head.replace(framing, framing.replace(": ", ": \t  ") + "  ");
      case LEADING_EMPTY_LINE -> "\r\n" + head;
      case FOLDED_VALUE -> head.replace("Host: h", "Host: h\r\nX-Note: a\r\n b");
      case SAME_LENGTH_TWICE -> head.replace(framing, framing + "\r\n" + framing);
      case SPACE_BEFORE_COLON -> head.replace(framing, framing.replace(":", " :"));
      case OTHER_LENGTH_TWICE ->
          head.replace(framing, framing + "\r\nContent-Length: " + (length + 1));
      case LENGTH_AND_CODING ->
          head.replace(framing, "Content-Length: 3\r\nTransfer-Encoding: chunked");
      case NEGATIVE_LENGTH -> head.replace(framing, "Content-Length: -1");
      case SIGNED_LENGTH -> head.replace(framing, "Content-Length: +" + length);
      case LIST_OF_LENGTHS ->
          head.replace(framing, "Content-Length: %d, %d".formatted(length, length + 1));
      case OTHER_CODING -> head.replace("chunked", "gzip, chunked");
      case TWO_HOSTS -> head.replace("Host: h", "Host: h\r\nhost: other");
      case NO_HOST -> head.replace("Host: h\r\n", "");
      case RAW_BYTE_IN_PATH -> head.replace(path, path + "\u00e9");
      case CONTROL_IN_PATH -> head.replace(path, path + "\u0001");
    };
  }

  private static String payload(String body, boolean chunked, Change change) {
    if (!chunked) {
      return body;
    }
    String extension = change == Change.CHUNK_EXTENSION ? ";a=b" : "";
    String chunk =
        body.isEmpty()
            ? ""
            : Integer.toHexString(body.length()) + extension + "\r\n" + body + "\r\n";
    return chunk + "0\r\n\r\n";
  }

  /** Sends the bytes in random pieces and returns the requests that were handled. */
  private static List<String> handle(Random random, String text) {
    List<String> handled = new ArrayList<>();
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.freezeTime();
    HttpServer.addRequestHandlers(
        channel.pipeline(),
        LIMITS,
        () -> 0,
        new EventLoopLag(() -> 0),
        new BodyMemory(LIMITS.bodyMemoryBytes()),
        new Responder(handled));
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    for (int from = 0; from < bytes.length && channel.isOpen(); ) {
      int to = Math.min(bytes.length, from + 1 + random.nextInt(120));
      channel.writeInbound(Unpooled.copiedBuffer(bytes, from, to - from));
      channel.runPendingTasks();
      from = to;
    }
    channel.finishAndReleaseAll();
    return handled;
  }

  private static final class Responder extends ChannelInboundHandlerAdapter {
    private final List<String> handled;

    Responder(List<String> handled) {
      this.handled = handled;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      HttpResponseStatus status = HttpResponseStatus.OK;
      if (message instanceof FullHttpRequest request) {
        handled.add(request.uri() + " " + request.content().toString(StandardCharsets.US_ASCII));
      } else if (message instanceof RequestError error) {
        status = HttpResponseStatus.valueOf(error.status());
      }
      ReferenceCountUtil.release(message);
      var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
      ctx.writeAndFlush(response);
    }

    /** The end of the connection within a body is reported as an exception. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
