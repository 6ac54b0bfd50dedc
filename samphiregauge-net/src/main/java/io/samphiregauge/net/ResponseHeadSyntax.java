package io.samphiregauge.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;

/**
 * Checks the lines of a response head before Netty decodes them. Netty skips control bytes in front
 * of a status line, accepts any number as a status and all versions, and cuts the name of a field
 * at its first blank, so that a broken line could reach a caller or determine where the body ends
 * (RFC 9112, sections 4 and 5).
 */
final class ResponseHeadSyntax {
  private static final ByteBuf PROTOCOL =
      Unpooled.unreleasableBuffer(Unpooled.copiedBuffer("HTTP/1.", StandardCharsets.US_ASCII));

  private static final byte DELETE = 0x7f;
  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

  /** Bytes from the start of a status line to the end of its status. */
  private static final int STATUS_END = "HTTP/1.1 200".length();

  private static final ByteProcessor IS_TOKEN = ResponseHeadSyntax::isToken;
  private static final ByteProcessor IS_TEXT = ResponseHeadSyntax::isText;

  private ResponseHeadSyntax() {}

  /**
   * Checks the complete lines of a head that a buffer holds.
   *
   * @param buffer the buffer, which starts with a line; its indexes are not changed
   * @param fromStatusLine whether the first line is the status line
   * @throws IllegalArgumentException if a line is not valid, or the first byte is not the start of
   *     a status line
   */
  static void check(ByteBuf buffer, boolean fromStatusLine) {
    int start = buffer.readerIndex();
    if (fromStatusLine && buffer.isReadable() && buffer.getByte(start) != PROTOCOL.getByte(0)) {
      throw new IllegalArgumentException("the response does not start with a status line");
    }
    boolean expectsStatusLine = fromStatusLine;
    int lineFeed = indexOfLineFeed(buffer, start);
    while (lineFeed >= 0) {
      int end = endOfLine(buffer, start, lineFeed);
      if (end == start && !expectsStatusLine) {
        return;
      }
      if (expectsStatusLine) {
        checkStatusLine(buffer, start, end);
      } else {
        checkFieldLine(buffer, start, end);
      }
      expectsStatusLine = false;
      start = lineFeed + 1;
      lineFeed = indexOfLineFeed(buffer, start);
    }
  }

  private static int indexOfLineFeed(ByteBuf buffer, int start) {
    return buffer.indexOf(start, buffer.writerIndex(), HttpConstants.LF);
  }

  /** Returns the index after the last byte of a line, without its line break. */
  static int endOfLine(ByteBuf buffer, int start, int lineFeed) {
    boolean carriageReturn = lineFeed > start && buffer.getByte(lineFeed - 1) == HttpConstants.CR;
    return carriageReturn ? lineFeed - 1 : lineFeed;
  }

  private static void checkStatusLine(ByteBuf buffer, int start, int end) {
    if (!isStatusLine(buffer, start, end)) {
      throw new IllegalArgumentException("the response has an invalid status line");
    }
  }

  /** Returns whether a line is a protocol, a status from 100 to 599, and an optional reason. */
  private static boolean isStatusLine(ByteBuf buffer, int start, int end) {
    int protocolBytes = PROTOCOL.readableBytes();
    if (end - start < STATUS_END
        || !ByteBufUtil.equals(buffer, start, PROTOCOL, 0, protocolBytes)) {
      return false;
    }
    int minorVersion = start + protocolBytes;
    int afterStatus = start + STATUS_END;
    return isInRange(buffer.getByte(minorVersion), '0', '9')
        && buffer.getByte(minorVersion + 1) == HttpConstants.SP
        && isInRange(buffer.getByte(minorVersion + 2), '1', '5')
        && isInRange(buffer.getByte(minorVersion + 3), '0', '9')
        && isInRange(buffer.getByte(minorVersion + 4), '0', '9')
        && (afterStatus == end || buffer.getByte(afterStatus) == HttpConstants.SP)
        && isText(buffer, afterStatus, end);
  }

  private static boolean isInRange(byte value, char first, char last) {
    return value >= first && value <= last;
  }

  /**
   * Checks a line of a head or a trailer.
   *
   * @throws IllegalArgumentException if it is not a name, a colon and a value
   */
  static void checkFieldLine(ByteBuf buffer, int start, int end) {
    int nameEnd = buffer.forEachByte(start, end - start, IS_TOKEN);
    boolean valid =
        nameEnd > start
            && buffer.getByte(nameEnd) == HttpConstants.COLON
            && isText(buffer, nameEnd, end);
    if (!valid) {
      throw new IllegalArgumentException("the response has an invalid field line");
    }
  }

  private static boolean isToken(byte value) {
    return isInRange(value, 'a', 'z')
        || isInRange(value, 'A', 'Z')
        || isInRange(value, '0', '9')
        || TOKEN_SYMBOLS.indexOf(value) >= 0;
  }

  /** Returns whether bytes have no control byte other than a tab. */
  static boolean isText(ByteBuf buffer, int start, int end) {
    return buffer.forEachByte(start, end - start, IS_TEXT) < 0;
  }

  private static boolean isText(byte value) {
    return value == HttpConstants.HT || value < 0 || (value >= HttpConstants.SP && value != DELETE);
  }
}
