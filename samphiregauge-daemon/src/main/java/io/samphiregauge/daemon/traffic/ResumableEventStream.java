package io.samphiregauge.daemon.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Follows the numbered tokens in a stream of server-sent events, so that another engine can
 * continue the stream.
 *
 * <p>Only whole events are passed on, byte for byte. What an engine left unfinished when it failed
 * never reaches the caller, and an event that the caller has already is dropped.
 */
final class ResumableEventStream {
  // Larger events, and longer streams, are passed on but cannot be continued elsewhere.
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

  /** Returns the whole events among the bytes, which it takes over; the rest waits for its end. */
  ByteBuf feed(ByteBuf bytes) {
    if (!resumable && !partial.isReadable()) {
      return bytes;
    }
    ByteBuf all = partial.isReadable() ? Unpooled.wrappedBuffer(partial, bytes) : bytes;
    partial = Unpooled.EMPTY_BUFFER;
    ByteBuf passed = processEvents(all);
    if (!all.isReadable()) {
      all.release();
    } else if (resumable && all.readableBytes() <= MAX_EVENT_BYTES) {
      // A copy, so that a short rest does not keep a whole read buffer alive.
      partial = Unpooled.copiedBuffer(all);
      all.release();
    } else {
      resumable = false;
      passed = Unpooled.wrappedBuffer(passed, all);
    }
    return passed;
  }

  /** Returns what is left at the regular end of the stream. */
  ByteBuf remaining() {
    ByteBuf rest = partial;
    partial = Unpooled.EMPTY_BUFFER;
    return rest;
  }

  /** Forgets the unfinished event of an engine that failed. */
  void discardPartial() {
    partial.release();
    partial = Unpooled.EMPTY_BUFFER;
  }

  /** Tells whether an engine skipped a token, so that its stream must not be passed on. */
  boolean hasGap() {
    return gap;
  }

  /** Tells whether the caller has the end of the stream. */
  boolean isDone() {
    return done;
  }

  /** Returns the events that the caller has, if the stream can be continued after them. */
  Optional<SentEvents> sentEvents() {
    return resumable
        ? Optional.of(new SentEvents(nextIndex, retainedEvents.toString(StandardCharsets.UTF_8)))
        : Optional.empty();
  }

  /** Number of tokens that the caller has, and their events. */
  record SentEvents(int tokens, String events) {}

  int tokenCount() {
    return nextIndex;
  }

  /** Reads the whole events and returns those that are to be passed on. */
  private ByteBuf processEvents(ByteBuf all) {
    ByteBuf passed = Unpooled.EMPTY_BUFFER;
    int start = all.readerIndex();
    for (int end = findEventEnd(all, start); end >= 0 && !gap; end = findEventEnd(all, start)) {
      if (!processEvent(all, start, end)) {
        passed = concat(passed, all.readRetainedSlice(start - all.readerIndex()));
        all.readerIndex(end);
      }
      start = end;
    }
    return concat(passed, all.readRetainedSlice(start - all.readerIndex()));
  }

  private static ByteBuf concat(ByteBuf first, ByteBuf second) {
    if (!first.isReadable()) {
      return second;
    }
    return Unpooled.wrappedBuffer(first, second);
  }

  /** Notes an event, and tells whether it is to be passed on. */
  private boolean processEvent(ByteBuf all, int start, int end) {
    if (startsWith(all, start, end, INDEX_PREFIX)) {
      return processToken(all, start, end);
    }
    if (startsWith(all, start, end, DONE_PREFIX)) {
      done = true;
    } else if (startsWith(all, start, end, DATA_PREFIX)) {
      resumable = false;
    }
    return true;
  }

  private boolean processToken(ByteBuf all, int start, int end) {
    long index = parseIndex(all, start + INDEX_PREFIX.length, end);
    if (index < nextIndex) {
      return false;
    }
    if (index > nextIndex) {
      gap = true;
      return false;
    }
    nextIndex++;
    retain(all, start, end);
    return true;
  }

  private void retain(ByteBuf all, int start, int end) {
    if (retainedEvents.size() + (end - start) > MAX_RETAINED_BYTES) {
      resumable = false;
      retainedEvents.reset();
      return;
    }
    byte[] event = new byte[end - start];
    all.getBytes(start, event);
    retainedEvents.writeBytes(event);
  }

  private static long parseIndex(ByteBuf all, int from, int end) {
    long value = 0;
    for (int i = from; i < end; i++) {
      int digit = all.getByte(i) - '0';
      if (digit < 0 || digit > 9) {
        return value;
      }
      value = Math.min(Integer.MAX_VALUE, value * 10 + digit);
    }
    return value;
  }

  /** Finds the end of the empty line that closes an event, or -1. */
  private static int findEventEnd(ByteBuf all, int start) {
    int newline = all.indexOf(start, all.writerIndex(), (byte) '\n');
    while (newline >= 0) {
      int next = newline + 1;
      if (next < all.writerIndex() && all.getByte(next) == '\r') {
        next++;
      }
      if (next < all.writerIndex() && all.getByte(next) == '\n') {
        return next + 1;
      }
      newline = all.indexOf(newline + 1, all.writerIndex(), (byte) '\n');
    }
    return -1;
  }

  private static boolean startsWith(ByteBuf all, int start, int end, byte[] text) {
    if (end - start < text.length) {
      return false;
    }
    for (int i = 0; i < text.length; i++) {
      if (all.getByte(start + i) != text[i]) {
        return false;
      }
    }
    return true;
  }
}
