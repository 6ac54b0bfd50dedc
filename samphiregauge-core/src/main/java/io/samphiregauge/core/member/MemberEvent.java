package io.samphiregauge.core.member;

import io.samphiregauge.schema.PeerMessage;
import java.util.List;
import java.util.OptionalLong;

/** Input of the membership. */
public sealed interface MemberEvent {
  /** A deadline may have passed. */
  record Tick() implements MemberEvent {}

  /** A message from another member was received. */
  record Received(PeerMessage message) implements MemberEvent {}

  /**
   * This process folded records or had log contact; both values are sent with every message.
   *
   * @param appliedOffset last folded offset
   * @param logContactMs time of the last log contact, or empty
   */
  record Progress(long appliedOffset, OptionalLong logContactMs) implements MemberEvent {}

  /**
   * Lists VMs from the platform and the log. A VM missing from the list is not considered dead.
   *
   * @param addresses peer addresses to contact
   * @param leavingVms VMs that are about to be removed
   */
  record Hint(List<String> addresses, List<String> leavingVms) implements MemberEvent {
    /** Makes defensive copies of the lists. */
    public Hint {
      addresses = List.copyOf(addresses);
      leavingVms = List.copyOf(leavingVms);
    }
  }

  /** This process is shutting down. */
  record Leave() implements MemberEvent {}
}
