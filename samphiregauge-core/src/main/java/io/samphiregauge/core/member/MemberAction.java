package io.samphiregauge.core.member;

import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.Member;

/** What the membership asks for. */
public sealed interface MemberAction {
  /** Send a message to a peer address. */
  record Send(String peerAddress, PeerMessage message) implements MemberAction {}

  /** A member came, changed its state or was replaced by a newer process. */
  record Changed(Member member) implements MemberAction {}
}
