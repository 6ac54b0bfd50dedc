package io.samphiregauge.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;

/**
 * The answer to one caller. The head of a stream waits for the first event, so that a failure
 * before it can still be answered with a status.
 */
final class CallerResponseWriter {
  private final ChannelHandlerContext caller;
  private final Optional<SseEventSplitter> splitter;
  private boolean started;

  CallerResponseWriter(ChannelHandlerContext caller, boolean isStream) {
    this.caller = caller;
    this.splitter = isStream ? Optional.of(new SseEventSplitter(caller.alloc())) : Optional.empty();
  }

  /** Returns whether the caller has a part of the answer. */
  boolean started() {
    return started;
  }

  /** Returns the identifier of the last event that the caller has from this answer. */
  Optional<String> lastEventId() {
    return splitter.flatMap(SseEventSplitter::lastEventId);
  }

  boolean hasPartialEvent() {
    return splitter.filter(SseEventSplitter::hasPartialEvent).isPresent();
  }

  void discardPartialEvent() {
    splitter.ifPresent(SseEventSplitter::discardPartialEvent);
  }

  /**
   * Takes bytes of a stream, and passes on the events that are whole.
   *
   * @param head head of the server's answer, used if it is the first server
   * @param bytes the bytes; they stay the caller's
   * @return whether there was a whole event
   */
  boolean writeEvents(HttpResponse head, ByteBuf bytes) {
    SseEventSplitter eventSplitter = splitter.orElseThrow();
    eventSplitter.add(bytes);
    Optional<ByteBuf> completeEvents = eventSplitter.takeCompleteEvents();
    completeEvents.ifPresent(
        part -> {
          writeHeadOnce(head);
          caller.write(new DefaultHttpContent(part));
        });
    return completeEvents.isPresent();
  }

  /** Ends a stream whose last event has been passed on. */
  void endStream(HttpResponse head) {
    writeHeadOnce(head);
    caller.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  private void writeHeadOnce(HttpResponse head) {
    if (!started) {
      started = true;
      HttpResponse callerHead = GatewayResponses.copyHead(head);
      // The length of a stream that another server may go on with is not known.
      callerHead.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
      caller.write(callerHead);
    }
  }

  /** Passes on a whole answer; the body is released. */
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
