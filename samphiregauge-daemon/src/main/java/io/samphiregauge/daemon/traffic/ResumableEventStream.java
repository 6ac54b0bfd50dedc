package io.samphiregauge.daemon.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Tracks the numbered tokens in a stream of server-sent events, so that another engine can resume
 * the stream after a failure.
 *
 * <p>While the stream is resumable, only complete events are forwarded, unchanged. A partial event
 * of a failed engine is discarded, and so is an event that the caller has already received.
 */
final class ResumableEventStream {
  // Limits of the buffered bytes of a partial event and of the retained token events. A stream that
  // exceeds one of them is still forwarded but cannot be resumed. The same holds for a stream with
  // a data event that has no token index.
  private static final int MAX_EVENT_BYTES = 64 * 1024;
  private static final int MAX_RETAINED_BYTES = 4 * 1024 * 1024;
  private static final byte[] INDEX_PREFIX =
      "data: {\"index\":".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA_PREFIX = "data:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DONE_PREFIX = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);

  private final ByteArrayOutputStream retainedEvents = new ByteArrayOutputStream();
  private ByteBuf partial = Unpooled.EMPTY_BUFFER;
  private int nextIndex;
  private boolean resumable = true;
  private boolean gap;
  private boolean done;

  /**
   * Returns the complete events to forward and buffers a trailing partial event. Takes ownership of
   * the bytes; the caller must release the result.
   */
  ByteBuf feed(ByteBuf bytes) {
    if (!resumable && !partial.isReadable()) {
      return bytes;
    }
    ByteBuf buffer = partial.isReadable() ? Unpooled.wrappedBuffer(partial, bytes) : bytes;
    partial = Unpooled.EMPTY_BUFFER;
    ByteBuf forwarded = processEvents(buffer);
    if (!buffer.isReadable()) {
      buffer.release();
    } else if (resumable && buffer.readableBytes() <= MAX_EVENT_BYTES) {
      // A copy, so that a short partial event does not retain the whole read buffer.
      partial = Unpooled.copiedBuffer(buffer);
      buffer.release();
    } else {
      resumable = false;
      forwarded = Unpooled.wrappedBuffer(forwarded, buffer);
    }
    return forwarded;
  }

  /**
   * Removes and returns the bytes that follow the last complete event. Called when the engine has
   * ended its response normally. The caller must release the result.
   */
  ByteBuf remaining() {
    ByteBuf unfinished = partial;
    partial = Unpooled.EMPTY_BUFFER;
    return unfinished;
  }

  /** Discards the partial event of a failed engine. */
  void discardPartial() {
    partial.release();
    partial = Unpooled.EMPTY_BUFFER;
  }

  /** Returns whether an engine skipped a token, in which case its stream must not be forwarded. */
  boolean hasGap() {
    return gap;
  }

  /** Returns whether the end-of-stream event was forwarded. */
  boolean isDone() {
    return done;
  }

  /** Returns the events forwarded so far, or empty if the stream cannot be resumed. */
  Optional<SentEvents> sentEvents() {
    return resumable
        ? Optional.of(new SentEvents(nextIndex, retainedEvents.toString(StandardCharsets.UTF_8)))
        : Optional.empty();
  }

  /** The number of tokens forwarded to the caller, and the text of their events. */
  record SentEvents(int tokens, String events) {}

  int tokenCount() {
    return nextIndex;
  }

  /** Consumes the complete events in the buffer and returns those to forward. */
  private ByteBuf processEvents(ByteBuf buffer) {
    ByteBuf forwarded = Unpooled.EMPTY_BUFFER;
    int start = buffer.readerIndex();
    for (int end = findEventEnd(buffer, start);
        end >= 0 && !gap;
        end = findEventEnd(buffer, start)) {
      if (!processEvent(buffer, start, end)) {
        forwarded = concat(forwarded, buffer.readRetainedSlice(start - buffer.readerIndex()));
        buffer.readerIndex(end);
      }
      start = end;
    }
    return concat(forwarded, buffer.readRetainedSlice(start - buffer.readerIndex()));
  }

  private static ByteBuf concat(ByteBuf first, ByteBuf second) {
    if (!first.isReadable()) {
      return second;
    }
    return Unpooled.wrappedBuffer(first, second);
  }

  /** Processes an event and returns whether to forward it. */
  private boolean processEvent(ByteBuf buffer, int start, int end) {
    if (startsWith(buffer, start, end, INDEX_PREFIX)) {
      return processToken(buffer, start, end);
    }
    if (startsWith(buffer, start, end, DONE_PREFIX)) {
      done = true;
    } else if (startsWith(buffer, start, end, DATA_PREFIX)) {
      resumable = false;
    }
    return true;
  }

  private boolean processToken(ByteBuf buffer, int start, int end) {
    long index = parseIndex(buffer, start + INDEX_PREFIX.length, end);
    if (index < nextIndex) {
      return false;
    }
    if (index > nextIndex) {
      gap = true;
      return false;
    }
    nextIndex++;
    retain(buffer, start, end);
    return true;
  }

  private void retain(ByteBuf buffer, int start, int end) {
    if (retainedEvents.size() + (end - start) > MAX_RETAINED_BYTES) {
      resumable = false;
      retainedEvents.reset();
      return;
    }
    byte[] event = new byte[end - start];
    buffer.getBytes(start, event);
    retainedEvents.writeBytes(event);
  }

  private static long parseIndex(ByteBuf buffer, int start, int end) {
    long value = 0;
    for (int i = start; i < end; i++) {
      int digit = buffer.getByte(i) - '0';
      if (digit < 0 || digit > 9) {
        return value;
      }
      value = Math.min(Integer.MAX_VALUE, value * 10 + digit);
    }
    return value;
  }

  /** Returns the index after the empty line that terminates an event, or -1 if there is none. */
  private static int findEventEnd(ByteBuf buffer, int start) {
    int newline = buffer.indexOf(start, buffer.writerIndex(), (byte) '\n');
    while (newline >= 0) {
      int next = newline + 1;
      if (next < buffer.writerIndex() && buffer.getByte(next) == '\r') {
        next++;
      }
      if (next < buffer.writerIndex() && buffer.getByte(next) == '\n') {
        return next + 1;
      }
      newline = buffer.indexOf(newline + 1, buffer.writerIndex(), (byte) '\n');
    }
    return -1;
  }

  private static boolean startsWith(ByteBuf buffer, int start, int end, byte[] prefix) {
    if (end - start < prefix.length) {
      return false;
    }
    for (int i = 0; i < prefix.length; i++) {
      if (buffer.getByte(start + i) != prefix[i]) {
        return false;
      }
    }
    return true;
  }
}
