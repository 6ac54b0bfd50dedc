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
final class CallerSide {
  private final ChannelHandlerContext caller;
  private final Optional<EventSplitter> splitter;
  private boolean begun;

  CallerSide(ChannelHandlerContext caller, boolean stream) {
    this.caller = caller;
    this.splitter = stream ? Optional.of(new EventSplitter(caller.alloc())) : Optional.empty();
  }

  /** Returns whether the caller has a part of the answer. */
  boolean begun() {
    return begun;
  }

  /** Returns the identifier of the last event that the caller has from this answer. */
  Optional<String> lastEventId() {
    return splitter.flatMap(EventSplitter::lastId);
  }

  boolean hasPartialEvent() {
    return splitter.filter(EventSplitter::hasPartialEvent).isPresent();
  }

  void dropPartialEvent() {
    splitter.ifPresent(EventSplitter::dropPartialEvent);
  }

  /**
   * Takes bytes of a stream, and passes on the events that are whole.
   *
   * @param head head of the server's answer, used if it is the first server
   * @param bytes the bytes; they stay the caller's
   * @return whether there was a whole event
   */
  boolean events(HttpResponse head, ByteBuf bytes) {
    EventSplitter events = splitter.orElseThrow();
    events.add(bytes);
    Optional<ByteBuf> whole = events.wholeEvents();
    whole.ifPresent(
        part -> {
          begin(head);
          caller.write(new DefaultHttpContent(part));
        });
    return whole.isPresent();
  }

  /** Ends a stream whose last event has been passed on. */
  void endStream(HttpResponse head) {
    begin(head);
    caller.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  private void begin(HttpResponse head) {
    if (!begun) {
      begun = true;
      HttpResponse copy = Answers.head(head);
      // The length of a stream that another server may go on with is not known.
      copy.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
      caller.write(copy);
    }
  }

  /** Passes on a whole answer; the body is released. */
  void whole(HttpResponse head, ByteBuf body, HttpMethod method) {
    begun = true;
    HttpResponse copy = Answers.head(head);
    if (!method.equals(HttpMethod.HEAD)) {
      copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    caller.write(copy);
    caller.writeAndFlush(new DefaultLastHttpContent(body));
  }

  void flush() {
    if (begun) {
      caller.flush();
    }
  }

  void release() {
    splitter.ifPresent(EventSplitter::release);
  }
}
