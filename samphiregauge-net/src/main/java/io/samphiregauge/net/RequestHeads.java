package io.samphiregauge.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** Checks that the host and the path of a request mean the same to each recipient. */
final class RequestHeads {
  private RequestHeads() {}

  /**
   * Rejects a head without exactly one host (RFC 9112, section 3.2), or with a path that contains
   * other than printable ASCII characters, which would not be forwarded unchanged.
   *
   * @param head complete head of a request
   * @throws IllegalArgumentException if the host or the path is not valid
   */
  static void check(HttpRequest head) {
    List<String> hosts = head.headers().getAll(HttpHeaderNames.HOST);
    boolean hostRequired = head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
    if (hosts.size() > 1 || (hosts.isEmpty() && hostRequired)) {
      throw new IllegalArgumentException(
          "the request has %d Host headers instead of one".formatted(hosts.size()));
    }
    if (head.uri().chars().anyMatch(c -> c <= ' ' || c > '~')) {
      throw new IllegalArgumentException(
          "the path contains a character that is not printable ASCII");
    }
  }
}
