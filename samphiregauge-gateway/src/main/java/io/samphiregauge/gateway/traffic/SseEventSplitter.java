package io.samphiregauge.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries, so that a caller never receives a
 * partial event that another server sends again. Confined to one event loop.
 */
final class SseEventSplitter {
  /** Maximum size of an event, in bytes; an event holds a few tokens. */
  static final int MAX_EVENT_BYTES = 256 * 1024;

  private static final byte LF = '\n';
  private static final byte CR = '\r';
  private static final String ID_FIELD = "id:";

  /** Length of the longest separator of two events without its last byte. */
  private static final int SEPARATOR_OVERLAP = 3;

  private final ByteBuf pending;

  /** Bytes at the end of {@link #pending} that were not searched for the end of an event. */
  private int unsearchedBytes;

  private final EventSequence sequence = new EventSequence();
  private boolean outOfSequence;

  SseEventSplitter(ByteBufAllocator allocator) {
    pending = allocator.buffer();
  }

  /** Adds bytes of the stream; they are copied and not released. */
  void add(ByteBuf bytes) {
    pending.discardSomeReadBytes();
    pending.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
    unsearchedBytes += bytes.readableBytes();
  }

  /**
   * Removes and returns the complete events, if any; the caller must release them. Returns none if
   * another server continues the stream with events that may not follow.
   */
  Optional<ByteBuf> takeCompleteEvents() {
    int end = findEndOfLastEvent();
    if (end == pending.readerIndex()) {
      return Optional.empty();
    }
    ByteBuf events = pending.readBytes(end - pending.readerIndex());
    String text = events.toString(StandardCharsets.UTF_8);
    outOfSequence |=
        !isComment(text) && !sequence.add(findFirstEventId(text), findLastEventId(text));
    if (outOfSequence) {
      events.release();
      return Optional.empty();
    }
    return Optional.of(events);
  }

  /** Returns whether bytes of an incomplete event remain. */
  boolean hasPartialEvent() {
    return pending.isReadable();
  }

  /** Returns whether another server continues the stream, but not right after its last event. */
  boolean isOutOfSequence() {
    return outOfSequence;
  }

  /** Returns whether another server is to continue the stream and has sent no event of it yet. */
  boolean awaitsContinuation() {
    return sequence.awaitsContinuation();
  }

  /** Returns whether the incomplete event is larger than any legal one. */
  boolean hasOversizedEvent() {
    return pending.readableBytes() > MAX_EVENT_BYTES;
  }

  /** Returns the identifier of the last event that was returned. */
  Optional<String> lastEventId() {
    return sequence.lastId();
  }

  /** Discards a partial event before another server continues the stream. */
  void discardPartialEvent() {
    pending.clear();
    unsearchedBytes = 0;
    outOfSequence = false;
    sequence.startContinuation();
  }

  void release() {
    pending.release();
  }

  /** Returns the index after the last empty line, which ends an event. */
  private int findEndOfLastEvent() {
    // Searching all bytes again for each added part would take quadratic time.
    int first =
        Math.max(
            pending.readerIndex(), pending.writerIndex() - unsearchedBytes - SEPARATOR_OVERLAP);
    unsearchedBytes = 0;
    for (int i = pending.writerIndex() - 1; i > first; i--) {
      if (pending.getByte(i) != LF) {
        continue;
      }
      int previousLf = pending.getByte(i - 1) == CR ? i - 2 : i - 1;
      if (previousLf >= pending.readerIndex() && pending.getByte(previousLf) == LF) {
        return i + 1;
      }
    }
    return pending.readerIndex();
  }

  private static boolean isComment(String text) {
    return text.lines().allMatch(line -> line.isEmpty() || line.startsWith(":"));
  }

  private static Optional<String> findFirstEventId(String text) {
    return text.startsWith(ID_FIELD)
        ? readId(text, 0)
        : readId(text, text.indexOf("\n" + ID_FIELD) + 1);
  }

  private static Optional<String> findLastEventId(String text) {
    return readId(text, text.lastIndexOf("\n" + ID_FIELD) + 1);
  }

  /** Returns the identifier in the line that starts at an index, if it holds one. */
  private static Optional<String> readId(String text, int lineStart) {
    if (!text.startsWith(ID_FIELD, lineStart)) {
      return Optional.empty();
    }
    int start = lineStart + ID_FIELD.length();
    int end = text.indexOf('\n', start);
    return Optional.of(text.substring(start, end < 0 ? text.length() : end).trim());
  }
}
