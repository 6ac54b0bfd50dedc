package io.samphiregauge.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/**
 * Checks that a message has a single possible end. Netty ignores transfer codings that it does not
 * support and treats such a message as one without a body, or as a chunked one, so that the next
 * recipient may find its end elsewhere (RFC 9112, section 6.3).
 */
final class TransferFraming {
  private TransferFraming() {}

  /**
   * Rejects a head with a transfer coding other than exactly {@code chunked}, or with a content
   * length beside it.
   *
   * @param head complete head of a request or response
   * @throws IllegalArgumentException if the end of the message is ambiguous
   */
  static void check(HttpMessage head) {
    List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (codings.isEmpty()) {
      return;
    }
    if (head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are present");
    }
    if (head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0) {
      throw new IllegalArgumentException(
          "Transfer-Encoding is not defined for " + head.protocolVersion());
    }
    if (codings.size() > 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
      throw new IllegalArgumentException(
          "Transfer-Encoding %s is not supported, only chunked".formatted(codings));
    }
  }
}
