package io.samphiregauge.daemon.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.samphiregauge.core.ticket.RecordedResponse;
import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

/**
 * Records the response to a call with a ticket. Such a call continues after its caller disconnects,
 * so that a repeat of the request can receive its outcome.
 */
final class ResponseRecorder {
  // One byte above the limit is kept, so that the ticket table detects that a response is too
  // large.
  private final int maxBytes;
  private final Consumer<RecordedResponse> onComplete;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private String contentType = "";

  private ResponseRecorder(int maxBytes, Consumer<RecordedResponse> onComplete) {
    this.maxBytes = maxBytes;
    this.onComplete = onComplete;
  }

  /**
   * Creates a sink that records the response.
   *
   * @param maxBytes largest body to record, in bytes; a larger one is truncated to one byte more
   * @param onComplete receives the complete response
   * @param onFailure receives the reason why there is no complete response
   * @return the sink
   */
  static ResponseSink createSink(
      int maxBytes, Consumer<RecordedResponse> onComplete, Consumer<EntryFailure> onFailure) {
    ResponseRecorder recorder = new ResponseRecorder(maxBytes, onComplete);
    return new ResponseSink(
        recorder::accept,
        () -> {},
        onFailure,
        () ->
            onFailure.accept(
                EntryFailure.outcomeUnknown(
                    502, "no_answer", "The response ended before it was complete.")));
  }

  private void accept(HttpObject part) {
    if (part instanceof HttpResponse head) {
      status = head.status().code();
      contentType = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
    }
    if (part instanceof HttpContent content) {
      appendBody(content.content());
    }
    boolean last = part instanceof LastHttpContent;
    ReferenceCountUtil.release(part);
    if (last) {
      onComplete.accept(RecordedResponse.of(status, contentType, body.toByteArray()));
    }
  }

  private void appendBody(ByteBuf content) {
    int length = Math.min(content.readableBytes(), maxBytes + 1 - body.size());
    byte[] bytes = new byte[length];
    content.getBytes(content.readerIndex(), bytes);
    body.writeBytes(bytes);
  }
}
