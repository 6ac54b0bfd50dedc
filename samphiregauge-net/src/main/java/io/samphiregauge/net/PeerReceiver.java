package io.samphiregauge.net;

import io.samphiregauge.schema.PeerMessage;

/** Takes messages of other entries, on an event loop. */
@FunctionalInterface
public interface PeerReceiver {
  /**
   * Takes a message.
   *
   * @param peerAddress address to which answers go
   * @param message the message
   */
  void received(String peerAddress, PeerMessage message);
}
