package io.samphiregauge.net;

import io.samphiregauge.schema.PeerMessage;

/** Takes messages of other entries, on an event loop. */
@FunctionalInterface
public interface PeerMessageListener {
  /**
   * Takes a message.
   *
   * @param peerAddress address to which answers go
   * @param message the message
   */
  void onMessage(String peerAddress, PeerMessage message);
}
