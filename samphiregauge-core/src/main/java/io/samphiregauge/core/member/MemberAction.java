package io.samphiregauge.core.member;

import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.Member;

/** Output of the membership: a message to send, or a change to report. */
public sealed interface MemberAction {
  /** Send a message to a peer address. */
  record Send(String peerAddress, PeerMessage message) implements MemberAction {}

  /** A member was added, changed its state or was replaced by a newer process on its VM. */
  record Changed(Member member) implements MemberAction {}
}
