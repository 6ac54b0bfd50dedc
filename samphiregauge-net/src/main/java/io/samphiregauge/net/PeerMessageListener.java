package io.samphiregauge.net;

import io.samphiregauge.schema.PeerMessage;

/** Receives the messages of other entries, on an event loop. */
@FunctionalInterface
public interface PeerMessageListener {
  /**
   * Handles a message.
   *
   * @param peerAddress address of the sending entry, for responses
   * @param message the decoded message
   */
  void onMessage(String peerAddress, PeerMessage message);
}
