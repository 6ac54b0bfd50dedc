package io.samphiregauge.net;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;

/** Reads requests in tests whose server writes its response byte by byte. */
final class RawRequests {
  private RawRequests() {}

  /**
   * Reads to the end of a request head.
   *
   * @throws EOFException if the client closes the connection before
   */
  static void skipHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException("the request head is not complete: " + head);
      }
      head.append((char) next);
    }
  }
}
