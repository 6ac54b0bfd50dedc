package io.samphiregauge.daemon.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.entry.ErrorAnswer;
import io.samphiregauge.schema.entry.ErrorDetail;
import io.samphiregauge.schema.entry.Outcome;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Helpers for responses that are streams of server-sent events, and for token estimates. */
final class EventStreamUtil {
  // Typical for English text; used where no engine has counted the tokens.
  private static final int BYTES_PER_TOKEN = 4;

  private EventStreamUtil() {}

  static boolean isTokenStream(BackendCall call, HttpResponse head) {
    return call.isForEngine()
        && head.status().equals(HttpResponseStatus.OK)
        && !head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)
        && head.headers()
            .get(HttpHeaderNames.CONTENT_TYPE, "")
            .toLowerCase(Locale.ROOT)
            .startsWith("text/event-stream");
  }

  /** Returns the error event that reports a truncated stream to its caller. */
  static HttpContent truncationEvent() {
    ErrorDetail detail =
        new ErrorDetail(
            "no_answer", "The stream ended before it was complete.", Outcome.OUTCOME_UNKNOWN);
    String json = new String(Codec.json().encode(new ErrorAnswer(detail)), StandardCharsets.UTF_8);
    String event = "event: error\ndata: " + json + "\n\n";
    return new DefaultHttpContent(Unpooled.wrappedBuffer(event.getBytes(StandardCharsets.UTF_8)));
  }

  static int estimatePromptTokens(ByteBuf body) {
    return body.readableBytes() / BYTES_PER_TOKEN;
  }
}
