package io.samphiregauge.core.member;

import io.samphiregauge.schema.PeerMessage;
import java.util.List;
import java.util.OptionalLong;

/** What the membership is told. */
public sealed interface MemberEvent {
  /** Time passed. */
  record Tick() implements MemberEvent {}

  /** A message of another member arrived. */
  record Received(PeerMessage message) implements MemberEvent {}

  /**
   * The process folded records or had log contact; travels with each message.
   *
   * @param appliedOffset last folded offset
   * @param logContactMs time of the last log contact, or empty
   */
  record Progress(long appliedOffset, OptionalLong logContactMs) implements MemberEvent {}

  /**
   * The platform's list of VMs; a hint that never declares a death.
   *
   * @param addresses peer addresses to try
   * @param leavingVms VMs that are to go
   */
  record Hint(List<String> addresses, List<String> leavingVms) implements MemberEvent {
    /** Copies the lists. */
    public Hint {
      addresses = List.copyOf(addresses);
      leavingVms = List.copyOf(leavingVms);
    }
  }

  /** The process is about to end on purpose. */
  record Leave() implements MemberEvent {}
}
