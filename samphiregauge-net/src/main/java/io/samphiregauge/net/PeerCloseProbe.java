package io.samphiregauge.net;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Detects that a peer has closed its connection before the event loop reports it. On a slow VM, the
 * events of one pass can take more than a second, and the end of a connection waits behind them.
 */
public final class PeerCloseProbe {
  private PeerCloseProbe() {}

  /**
   * Reads what the socket holds, as the event loop would in its next pass, and returns whether the
   * connection is still open. Must be called on the event loop of the channel.
   *
   * @param channel the connection; its handlers receive bytes that have arrived. If reading is
   *     paused, nothing is read, and the end of the connection is not detected
   * @return whether the peer has kept the connection open
   */
  public static boolean isOpen(Channel channel) {
    if (channel.isActive()
        && channel.config().isAutoRead()
        && channel instanceof AbstractNioChannel socket) {
      socket.unsafe().read();
    }
    return channel.isActive();
  }
}
