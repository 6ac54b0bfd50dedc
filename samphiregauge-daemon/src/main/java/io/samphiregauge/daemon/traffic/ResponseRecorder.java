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
 * Collects the answer of a call with a ticket. The call goes on when its caller leaves, because its
 * outcome has to be known to a repeat.
 */
final class ResponseRecorder {
  // One byte above the limit is enough for the ticket book to see that the answer is too large.
  private final int maxBytes;
  private final Consumer<RecordedResponse> onComplete;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private String contentType = "";

  private ResponseRecorder(int maxBytes, Consumer<RecordedResponse> finished) {
    this.maxBytes = maxBytes;
    this.onComplete = finished;
  }

  /**
   * Makes an output that collects the answer.
   *
   * @param maxBytes largest answer that is kept; of a larger one only its size matters
   * @param finished takes a whole answer
   * @param failed takes the reason why there is none
   * @return the output
   */
  static ResponseSink createSink(
      int maxBytes, Consumer<RecordedResponse> finished, Consumer<EntryFailure> failed) {
    ResponseRecorder recorder = new ResponseRecorder(maxBytes, finished);
    return new ResponseSink(
        recorder::accept,
        () -> {},
        failed,
        () ->
            failed.accept(
                EntryFailure.outcomeUnknown(
                    502, "no_answer", "The answer ended before it was whole.")));
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
    int kept = Math.min(content.readableBytes(), maxBytes + 1 - body.size());
    byte[] bytes = new byte[kept];
    content.getBytes(content.readerIndex(), bytes);
    body.writeBytes(bytes);
  }
}
