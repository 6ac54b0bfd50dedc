package io.samphiregauge.net;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket that can be checked for input that the event loop has not been told of yet. */
final class ProbedSocketChannel extends NioSocketChannel {
  /**
   * Returns whether bytes or the end of the stream can be read. The bytes are lost, so that the
   * connection must be closed then. Must be called on the event loop.
   */
  boolean hasUnreadInput() {
    try {
      return javaChannel().read(ByteBuffer.allocate(1)) != 0;
    } catch (IOException e) {
      return true;
    }
  }
}
