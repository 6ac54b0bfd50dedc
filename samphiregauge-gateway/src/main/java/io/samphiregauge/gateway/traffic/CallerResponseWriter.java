package io.samphiregauge.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.samphiregauge.net.PeerCloseProbe;
import java.util.Optional;

/**
 * Writes the response to one caller. The head of a stream is delayed until the first complete
 * event, so that a failure before it can still be reported by a status.
 */
final class CallerResponseWriter {
  private final ChannelHandlerContext caller;
  private final Optional<SseEventSplitter> splitter;
  private boolean started;

  CallerResponseWriter(ChannelHandlerContext caller, boolean isStream) {
    this.caller = caller;
    this.splitter = isStream ? Optional.of(new SseEventSplitter(caller.alloc())) : Optional.empty();
  }

  /** Returns whether the caller has kept its connection open, as of this moment. */
  boolean isCallerConnected() {
    return PeerCloseProbe.isOpen(caller.channel());
  }

  /** Returns whether a part of the response was written, so that its status is fixed. */
  boolean started() {
    return started;
  }

  /** Returns the identifier of the last event that was written. */
  Optional<String> lastEventId() {
    return splitter.flatMap(SseEventSplitter::lastEventId);
  }

  boolean hasPartialEvent() {
    return splitter.filter(SseEventSplitter::hasPartialEvent).isPresent();
  }

  boolean hasOversizedEvent() {
    return splitter.filter(SseEventSplitter::hasOversizedEvent).isPresent();
  }

  /** Returns whether another server continues the stream, but not right after its last event. */
  boolean isOutOfSequence() {
    return splitter.filter(SseEventSplitter::isOutOfSequence).isPresent();
  }

  /** Returns whether another server is to continue the stream and has sent no event of it yet. */
  boolean awaitsContinuation() {
    return splitter.filter(SseEventSplitter::awaitsContinuation).isPresent();
  }

  void discardPartialEvent() {
    splitter.ifPresent(SseEventSplitter::discardPartialEvent);
  }

  /**
   * Adds bytes of an event stream and writes the events that are complete.
   *
   * @param head head of the server's response; written if the response has not started
   * @param bytes the bytes; copied and not released
   * @return whether an event was complete
   */
  boolean writeEvents(HttpResponse head, ByteBuf bytes) {
    SseEventSplitter eventSplitter = splitter.orElseThrow();
    eventSplitter.add(bytes);
    Optional<ByteBuf> completeEvents = eventSplitter.takeCompleteEvents();
    completeEvents.ifPresent(
        events -> {
          writeHeadOnce(head);
          caller.write(new DefaultHttpContent(events));
        });
    return completeEvents.isPresent();
  }

  /** Ends a stream after its last event. */
  void endStream(HttpResponse head) {
    writeHeadOnce(head);
    caller.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  private void writeHeadOnce(HttpResponse head) {
    if (!started) {
      started = true;
      HttpResponse callerHead = GatewayResponses.copyHead(head);
      // The length is unknown, because another server may continue the stream.
      callerHead.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
      caller.write(callerHead);
    }
  }

  /** Writes a complete response and releases the body. */
  void writeFull(HttpResponse head, ByteBuf body, HttpMethod method) {
    started = true;
    HttpResponse callerHead = GatewayResponses.copyHead(head);
    if (!method.equals(HttpMethod.HEAD)) {
      callerHead.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    caller.write(callerHead);
    caller.writeAndFlush(new DefaultLastHttpContent(body));
  }

  void flush() {
    if (started) {
      caller.flush();
    }
  }

  void release() {
    splitter.ifPresent(SseEventSplitter::release);
  }
}
