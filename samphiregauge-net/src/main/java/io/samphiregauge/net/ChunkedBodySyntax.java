package io.samphiregauge.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpConstants;
import java.util.HexFormat;

/**
 * Checks the framing of a chunked body while Netty decodes it. Netty skips bytes between the data
 * of a chunk and the next line feed, ignores what follows a blank in a size, and lets long sizes
 * overflow, so that a part of a body could be taken for the whole (RFC 9112, section 7.1).
 */
final class ChunkedBodySyntax {
  private static final int HEX_RADIX = 16;

  private State state = State.SIZE;
  private int remainingBytes;
  private boolean carriageReturnSeen;

  /** What the next byte belongs to. */
  private enum State {
    SIZE,
    DATA,
    DATA_END,
    TRAILER
  }

  /**
   * Checks the next bytes of the body.
   *
   * @param buffer holds the bytes; its indexes are not changed
   * @param from index of the first byte
   * @param to index after the last byte; a line with a size or a trailer ends before it
   * @throws IllegalArgumentException if the bytes are not valid
   */
  void check(ByteBuf buffer, int from, int to) {
    int index = from;
    while (index < to) {
      index =
          switch (state) {
            case SIZE -> checkSizeLine(buffer, index, to);
            case DATA -> skipData(index, to);
            case DATA_END -> checkDataEnd(buffer, index);
            case TRAILER -> checkTrailerLine(buffer, index, to);
          };
    }
  }

  private int checkSizeLine(ByteBuf buffer, int from, int to) {
    int lineFeed = buffer.indexOf(from, to, HttpConstants.LF);
    int end = ResponseHeadSyntax.endOfLine(buffer, from, lineFeed);
    long size = 0;
    int index = from;
    while (index < end
        && HexFormat.isHexDigit(buffer.getByte(index))
        && size <= Integer.MAX_VALUE) {
      size = size * HEX_RADIX + HexFormat.fromHexDigit(buffer.getByte(index));
      index++;
    }
    if (index == from || size > Integer.MAX_VALUE || !isExtension(buffer, index, end)) {
      throw new IllegalArgumentException("the response has an invalid chunk size");
    }
    remainingBytes = (int) size;
    state = size == 0 ? State.TRAILER : State.DATA;
    return lineFeed + 1;
  }

  /** Returns whether only blanks, or extensions that begin with a semicolon, follow a size. */
  private static boolean isExtension(ByteBuf buffer, int from, int end) {
    int index = from;
    while (index < end && isBlank(buffer.getByte(index))) {
      index++;
    }
    return index == end
        || (buffer.getByte(index) == HttpConstants.SEMICOLON
            && ResponseHeadSyntax.isText(buffer, index, end));
  }

  private static boolean isBlank(byte value) {
    return value == HttpConstants.SP || value == HttpConstants.HT;
  }

  private int skipData(int index, int to) {
    int skipped = Math.min(remainingBytes, to - index);
    remainingBytes -= skipped;
    if (remainingBytes == 0) {
      state = State.DATA_END;
      carriageReturnSeen = false;
    }
    return index + skipped;
  }

  private int checkDataEnd(ByteBuf buffer, int index) {
    byte value = buffer.getByte(index);
    if (value == HttpConstants.LF) {
      state = State.SIZE;
    } else if (value == HttpConstants.CR && !carriageReturnSeen) {
      carriageReturnSeen = true;
    } else {
      throw new IllegalArgumentException("the response has a chunk that exceeds its size");
    }
    return index + 1;
  }

  private static int checkTrailerLine(ByteBuf buffer, int from, int to) {
    int lineFeed = buffer.indexOf(from, to, HttpConstants.LF);
    int end = ResponseHeadSyntax.endOfLine(buffer, from, lineFeed);
    if (end > from) {
      ResponseHeadSyntax.checkFieldLine(buffer, from, end);
    }
    return lineFeed + 1;
  }
}
