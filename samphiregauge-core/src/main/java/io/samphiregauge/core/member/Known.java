package io.samphiregauge.core.member;

import io.samphiregauge.schema.peer.Member;
import io.samphiregauge.schema.peer.MemberState;
import java.util.OptionalLong;

/**
 * What this process knows of a member.
 *
 * @param member the member as it was last described
 * @param sinceMs when its state here changed last
 * @param contactMs time of its last known log contact, or empty
 */
public record Known(Member member, long sinceMs, OptionalLong contactMs) {
  private static final long NO_CONTACT = -1;

  /**
   * Tells whether the member may be talked to.
   *
   * @return true unless it is dead
   */
  public boolean isLive() {
    return member.getState() != MemberState.DEAD;
  }

  /** Tells whether a description replaces this one. */
  boolean isOlderThan(Member other) {
    int byProcess = Long.compare(startMs(member), startMs(other));
    if (byProcess == 0) {
      byProcess = Long.compare(nonce(member), nonce(other));
    }
    if (byProcess != 0) {
      return byProcess < 0;
    }
    int byRefutation = Long.compare(member.getRefutation(), other.getRefutation());
    return byRefutation < 0 || (byRefutation == 0 && rank(member) < rank(other));
  }

  static Known of(Member member, long nowMs) {
    return new Known(member, nowMs, contact(member, nowMs));
  }

  /** Takes over offset and log contact, which travel with each message of the member itself. */
  Known refreshed(Member direct, long nowMs) {
    if (!direct.getIncarnation().equals(member.getIncarnation())) {
      return this;
    }
    Member next = describe(member, member.getState(), direct.getAppliedOffset(), 0);
    return new Known(next, sinceMs, contact(direct, nowMs));
  }

  Known inState(MemberState state, long nowMs) {
    return new Known(describe(member, state, member.getAppliedOffset(), 0), nowMs, contactMs);
  }

  /** Describes the member as of now; the age of its log contact grows while it is held here. */
  Member toMessage(long nowMs) {
    return describe(member, member.getState(), member.getAppliedOffset(), age(contactMs, nowMs));
  }

  static Member describe(Member of, MemberState state, long appliedOffset, long contactAgeMs) {
    return new Member(
        of.getIncarnation(),
        of.getRegion(),
        of.getFailureDomain(),
        of.getHttpAddress(),
        of.getPeerAddress(),
        state,
        of.getRefutation(),
        appliedOffset,
        contactAgeMs);
  }

  static long age(OptionalLong contactMs, long nowMs) {
    return contactMs.isPresent() ? nowMs - contactMs.getAsLong() : NO_CONTACT;
  }

  private static OptionalLong contact(Member member, long nowMs) {
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

  private static int rank(Member member) {
    return switch (member.getState()) {
      case ALIVE -> 0;
      case LEAVING -> 1;
      case SUSPECT -> 2;
      case DEAD -> 3;
    };
  }
}
