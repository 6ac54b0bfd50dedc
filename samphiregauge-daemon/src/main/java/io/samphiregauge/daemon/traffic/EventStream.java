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
final class EventStream {
  // Larger events, and longer streams, are passed on but cannot be continued elsewhere.
  private static final int MAX_EVENT_BYTES = 64 * 1024;
  private static final int MAX_KEPT_BYTES = 4 * 1024 * 1024;
  private static final byte[] INDEX = "data: {\"index\":".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DONE = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);

  private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
  private ByteBuf partial = Unpooled.EMPTY_BUFFER;
  private int nextIndex;
  private boolean resumable = true;
  private boolean gap;
  private boolean done;

  /** Returns the whole events among the bytes, which it takes over; the rest waits for its end. */
  ByteBuf take(ByteBuf bytes) {
    if (!resumable && !partial.isReadable()) {
      return bytes;
    }
    ByteBuf all = partial.isReadable() ? Unpooled.wrappedBuffer(partial, bytes) : bytes;
    partial = Unpooled.EMPTY_BUFFER;
    ByteBuf passed = events(all);
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
  ByteBuf rest() {
    ByteBuf rest = partial;
    partial = Unpooled.EMPTY_BUFFER;
    return rest;
  }

  /** Forgets the unfinished event of an engine that failed. */
  void dropPartial() {
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
  Optional<Sent> sent() {
    return resumable
        ? Optional.of(new Sent(nextIndex, kept.toString(StandardCharsets.UTF_8)))
        : Optional.empty();
  }

  /** Number of tokens that the caller has, and their events. */
  record Sent(int tokens, String events) {}

  int tokens() {
    return nextIndex;
  }

  /** Reads the whole events and returns those that are to be passed on. */
  private ByteBuf events(ByteBuf all) {
    ByteBuf passed = Unpooled.EMPTY_BUFFER;
    int start = all.readerIndex();
    for (int end = eventEnd(all, start); end >= 0 && !gap; end = eventEnd(all, start)) {
      if (!follow(all, start, end)) {
        passed = join(passed, all.readRetainedSlice(start - all.readerIndex()));
        all.readerIndex(end);
      }
      start = end;
    }
    return join(passed, all.readRetainedSlice(start - all.readerIndex()));
  }

  private static ByteBuf join(ByteBuf first, ByteBuf second) {
    if (!first.isReadable()) {
      return second;
    }
    return Unpooled.wrappedBuffer(first, second);
  }

  /** Notes an event, and tells whether it is to be passed on. */
  private boolean follow(ByteBuf all, int start, int end) {
    if (startsWith(all, start, end, INDEX)) {
      return followToken(all, start, end);
    }
    if (startsWith(all, start, end, DONE)) {
      done = true;
    } else if (startsWith(all, start, end, DATA)) {
      resumable = false;
    }
    return true;
  }

  private boolean followToken(ByteBuf all, int start, int end) {
    long index = number(all, start + INDEX.length, end);
    if (index < nextIndex) {
      return false;
    }
    if (index > nextIndex) {
      gap = true;
      return false;
    }
    nextIndex++;
    keep(all, start, end);
    return true;
  }

  private void keep(ByteBuf all, int start, int end) {
    if (kept.size() + (end - start) > MAX_KEPT_BYTES) {
      resumable = false;
      kept.reset();
      return;
    }
    byte[] event = new byte[end - start];
    all.getBytes(start, event);
    kept.writeBytes(event);
  }

  private static long number(ByteBuf all, int from, int end) {
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
  private static int eventEnd(ByteBuf all, int start) {
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
