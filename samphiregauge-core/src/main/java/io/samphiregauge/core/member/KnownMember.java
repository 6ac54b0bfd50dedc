package io.samphiregauge.core.member;

import io.samphiregauge.schema.peer.Member;
import io.samphiregauge.schema.peer.MemberState;
import java.util.OptionalLong;

/**
 * Local record of another member.
 *
 * @param member newest accepted description of the member
 * @param stateSinceMs time of the last local state change
 * @param logContactMs time of the member's last known log contact, on the local clock, or empty
 */
public record KnownMember(Member member, long stateSinceMs, OptionalLong logContactMs) {
  private static final long NO_CONTACT = -1;

  /**
   * Returns whether messages may be sent to the member.
   *
   * @return true unless it is dead
   */
  public boolean isLive() {
    return member.getState() != MemberState.DEAD;
  }

  /**
   * Returns whether a description replaces this one. A newer process wins, then a higher
   * refutation, then the state of higher precedence.
   */
  boolean isSupersededBy(Member other) {
    int byProcess = Long.compare(startMs(member), startMs(other));
    if (byProcess == 0) {
      byProcess = Long.compare(nonce(member), nonce(other));
    }
    if (byProcess != 0) {
      return byProcess < 0;
    }
    int byRefutation = Long.compare(member.getRefutation(), other.getRefutation());
    return byRefutation < 0
        || (byRefutation == 0 && statePrecedence(member) < statePrecedence(other));
  }

  static KnownMember of(Member member, long nowMs) {
    return new KnownMember(member, nowMs, logContactTime(member, nowMs));
  }

  /** Copies the applied offset and the log contact from a message that the member itself sent. */
  KnownMember withProgressFrom(Member sender, long nowMs) {
    if (!sender.getIncarnation().equals(member.getIncarnation())) {
      return this;
    }
    Member next = copyOf(member, member.getState(), sender.getAppliedOffset(), 0);
    return new KnownMember(next, stateSinceMs, logContactTime(sender, nowMs));
  }

  KnownMember withState(MemberState state, long nowMs) {
    return new KnownMember(
        copyOf(member, state, member.getAppliedOffset(), 0), nowMs, logContactMs);
  }

  /** Returns the member for a message, with its log contact age as of {@code nowMs}. */
  Member toMessage(long nowMs) {
    return copyOf(
        member, member.getState(), member.getAppliedOffset(), logContactAgeMs(logContactMs, nowMs));
  }

  static Member copyOf(Member source, MemberState state, long appliedOffset, long contactAgeMs) {
    return new Member(
        source.getIncarnation(),
        source.getRegion(),
        source.getFailureDomain(),
        source.getHttpAddress(),
        source.getPeerAddress(),
        state,
        source.getRefutation(),
        appliedOffset,
        contactAgeMs);
  }

  static long logContactAgeMs(OptionalLong timeMs, long nowMs) {
    return timeMs.isPresent() ? nowMs - timeMs.getAsLong() : NO_CONTACT;
  }

  private static OptionalLong logContactTime(Member member, long nowMs) {
    return member.getLogContactAgeMs() < 0
        ? OptionalLong.empty()
        : OptionalLong.of(nowMs - member.getLogContactAgeMs());
  }

  private static long startMs(Member member) {
    return member.getIncarnation().getStartMs();
  }

  private static long nonce(Member member) {
    return member.getIncarnation().getNonce();
  }

  private static int statePrecedence(Member member) {
    return switch (member.getState()) {
      case ALIVE -> 0;
      case LEAVING -> 1;
      case SUSPECT -> 2;
      case DEAD -> 3;
    };
  }
}
