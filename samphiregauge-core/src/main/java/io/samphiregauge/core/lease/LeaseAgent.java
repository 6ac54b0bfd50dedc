package io.samphiregauge.core.lease;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.Step;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LeaseClaim;
import io.samphiregauge.schema.record.LeaseRelease;
import io.samphiregauge.schema.record.LeaseRenewal;
import io.samphiregauge.schema.record.LeaseState;
import io.samphiregauge.schema.record.LogRecord;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Claims, renews and releases the lease of one role for one process; immutable.
 *
 * <pre>{@code
 * Step<LeaseAgent, LeaseAction> step = agent.handle(new LeaseEvent.Tick(), now);
 * if (step.state().mayAct(now)) { ... }
 * }</pre>
 *
 * <p>The monotonic clock stops while a VM is suspended, and the wall clock may be set. A process
 * therefore holds the lease only while both clocks agree about the time since the lease record was
 * sent, and counts the time before a claim on the monotonic clock alone, which never runs ahead.
 * Times in milliseconds are on the monotonic clock.
 *
 * @param role role of the lease
 * @param self incarnation of the process
 * @param lastLease state of the lease after the last accepted lease record
 * @param lastReadMs time at which this process handled that record, which is after its append
 * @param validity span in which this process may use the lease; empty if the last lease record was
 *     written by another process or its send time is unknown
 * @param writePending whether a lease record of this process has not been read back yet
 * @param renewAtMs time of the next renewal
 * @param eligible whether the process may claim and renew the lease
 * @param claimDelayMs delay between the expiry of a lease and the claim
 * @param resigned whether the process resigned; it then makes no further claims
 * @param announcedToken token of the last reported {@link LeaseAction.Gained}, or empty after the
 *     matching {@link LeaseAction.Lost}
 */
public record LeaseAgent(
    String role,
    Incarnation self,
    Optional<LeaseState> lastLease,
    long lastReadMs,
    Optional<LeaseValidity> validity,
    boolean writePending,
    long renewAtMs,
    boolean eligible,
    long claimDelayMs,
    boolean resigned,
    OptionalLong announcedToken) {

  /** Superseded offset in the first claim of a role. */
  private static final long NO_OFFSET = -1;

  /**
   * Creates the agent of a process that has read nothing yet.
   *
   * @param role role of the lease, such as {@code fleet/luzon}
   * @param self incarnation of the process
   * @return the agent
   */
  public static LeaseAgent of(String role, Incarnation self) {
    return new LeaseAgent(
        role,
        self,
        Optional.empty(),
        Long.MIN_VALUE,
        Optional.empty(),
        false,
        Long.MAX_VALUE,
        false,
        0,
        false,
        OptionalLong.empty());
  }

  /**
   * Handles an event.
   *
   * @param event the event
   * @param now current time
   * @return the next agent, and the actions to perform
   */
  public Step<LeaseAgent, LeaseAction> handle(LeaseEvent event, DualTimestamp now) {
    LeaseAgent updated = apply(event, now);
    Step<LeaseAgent, LeaseAction> announced = updated.announceChange(now);
    if (event instanceof LeaseEvent.Read || event instanceof LeaseEvent.Restored) {
      // More records of the same page may follow, so due records are written at the next tick.
      return announced;
    }
    return announced.state().writeIfDue(now).prepend(announced.actions());
  }

  /**
   * Returns whether an action under the lease may start. Check it immediately before the socket
   * write.
   *
   * @param now current time
   * @return true while the lease is held and valid for at least {@link LeaseTimes#ACTION_GUARD_MS}
   */
  public boolean mayAct(DualTimestamp now) {
    return isHeld(now) && remainingMs(now) >= LeaseTimes.ACTION_GUARD_MS;
  }

  /**
   * Returns for how long actions under the lease may continue.
   *
   * @param now current time
   * @return remaining milliseconds, 0 if {@link #mayAct} returns false
   */
  public long actionRemainingMs(DualTimestamp now) {
    return mayAct(now) ? remainingMs(now) - LeaseTimes.ACTION_GUARD_MS : 0;
  }

  /**
   * Returns the fencing token of the held lease.
   *
   * @param now current time
   * @return the token, or empty if {@link #mayAct} returns false
   */
  public OptionalLong token(DualTimestamp now) {
    return mayAct(now) ? OptionalLong.of(lastLease.orElseThrow().getToken()) : OptionalLong.empty();
  }

  /**
   * Returns when the next {@link LeaseEvent.Tick} is due.
   *
   * @return the time, or empty if no tick is needed before another event
   */
  public OptionalLong deadlineMs() {
    if (announcedToken.isPresent()) {
      boolean willRenew = eligible && !writePending;
      long endMs = validity.map(LeaseValidity::endMs).orElse(Long.MIN_VALUE);
      return OptionalLong.of(willRenew ? Math.min(renewAtMs, endMs) : endMs);
    }
    boolean willClaim = eligible && !writePending && !resigned;
    return willClaim ? OptionalLong.of(claimAtMs()) : OptionalLong.empty();
  }

  private LeaseAgent apply(LeaseEvent event, DualTimestamp now) {
    if (event instanceof LeaseEvent.Read read) {
      return applyRead(read, now);
    }
    if (event instanceof LeaseEvent.Candidacy candidacy) {
      return withCandidacy(candidacy.eligible(), candidacy.claimDelayMs());
    }
    if (event instanceof LeaseEvent.Restored restored) {
      // The records before the restored state were not read and may include lease records of this
      // process. Their first send times are unknown, so the lease does not count as held. A pending
      // write may be among them, so none counts as pending.
      return withLease(restored.lease(), now.monotonicMs(), Optional.empty(), false);
    }
    return event instanceof LeaseEvent.Resign ? withResigned() : this;
  }

  private LeaseAgent applyRead(LeaseEvent.Read read, DualTimestamp now) {
    LogRecord logRecord = read.logRecord();
    if (!isForRole(logRecord.getBody())) {
      return this;
    }
    boolean own = logRecord.getWriter().equals(self);
    boolean stillPending = writePending && !own;
    if (!read.accepted()) {
      return withLease(lastLease, lastReadMs, validity, stillPending);
    }
    Optional<LeaseValidity> nextValidity = own ? validityAfter(read) : Optional.empty();
    return withLease(leaseAfter(read), now.monotonicMs(), nextValidity, stillPending);
  }

  /**
   * Returns the validity, which is counted from the first send, because the append may take effect
   * at any time after it. Without a known send time the lease is not valid.
   */
  private Optional<LeaseValidity> validityAfter(LeaseEvent.Read read) {
    long durationMs =
        read.logRecord().getBody() instanceof LeaseClaim claim
            ? claim.getDurationMs()
            : lastLease.map(LeaseState::getDurationMs).orElse(0L);
    return read.firstSentAt()
        .map(sentAt -> new LeaseValidity(sentAt, LeaseTimes.holderDurationMs(durationMs)));
  }

  private Optional<LeaseState> leaseAfter(LeaseEvent.Read read) {
    Incarnation writer = read.logRecord().getWriter();
    if (read.logRecord().getBody() instanceof LeaseClaim claim) {
      return Optional.of(
          new LeaseState(role, read.offset(), read.offset(), claim.getDurationMs(), false, writer));
    }
    boolean released = read.logRecord().getBody() instanceof LeaseRelease;
    return lastLease.map(
        previous ->
            new LeaseState(
                role,
                previous.getToken(),
                read.offset(),
                previous.getDurationMs(),
                released,
                writer));
  }

  private boolean isForRole(RecordBody body) {
    if (body instanceof LeaseClaim claim) {
      return claim.getRole().equals(role);
    }
    if (body instanceof LeaseRenewal renewal) {
      return renewal.getRole().equals(role);
    }
    return body instanceof LeaseRelease release && release.getRole().equals(role);
  }

  private boolean isHolder() {
    return lastLease
        .filter(lease -> !lease.isReleased() && lease.getHolder().equals(self))
        .isPresent();
  }

  private boolean isHeld(DualTimestamp now) {
    return isHolder() && !resigned && remainingMs(now) > 0;
  }

  private long remainingMs(DualTimestamp now) {
    return validity.map(span -> span.remainingMs(now)).orElse(0L);
  }

  private Step<LeaseAgent, LeaseAction> announceChange(DualTimestamp now) {
    OptionalLong heldToken =
        isHeld(now) ? OptionalLong.of(lastLease.orElseThrow().getToken()) : OptionalLong.empty();
    if (heldToken.equals(announcedToken)) {
      return Step.to(this);
    }
    LeaseAgent next = withAnnounced(heldToken);
    List<LeaseAction> lost =
        announcedToken.isPresent()
            ? List.of(new LeaseAction.Lost(announcedToken.getAsLong()))
            : List.of();
    return heldToken.isPresent()
        ? Step.<LeaseAgent, LeaseAction>to(next, new LeaseAction.Gained(heldToken.getAsLong()))
            .prepend(lost)
        : new Step<>(next, lost);
  }

  private Step<LeaseAgent, LeaseAction> writeIfDue(DualTimestamp now) {
    if (writePending) {
      return Step.to(this);
    }
    if (isHolder()) {
      return renewOrRelease(now);
    }
    if (!eligible || resigned || now.monotonicMs() < claimAtMs()) {
      return Step.to(this);
    }
    long supersedes = lastLease.map(LeaseState::getLastOffset).orElse(NO_OFFSET);
    return withWrite(new LeaseClaim(role, supersedes, LeaseTimes.DURATION_MS), now);
  }

  private Step<LeaseAgent, LeaseAction> renewOrRelease(DualTimestamp now) {
    long token = lastLease.orElseThrow().getToken();
    if (resigned) {
      return withWrite(new LeaseRelease(role, token), now);
    }
    boolean renewalDue = now.monotonicMs() >= renewAtMs || remainingMs(now) == 0;
    return renewalDue && eligible ? withWrite(new LeaseRenewal(role, token), now) : Step.to(this);
  }

  private Step<LeaseAgent, LeaseAction> withWrite(RecordBody body, DualTimestamp now) {
    LeaseAgent next =
        new LeaseAgent(
            role,
            self,
            lastLease,
            lastReadMs,
            validity,
            true,
            now.monotonicMs() + LeaseTimes.RENEWAL_PERIOD_MS,
            eligible,
            claimDelayMs,
            resigned,
            announcedToken);
    return Step.to(next, new LeaseAction.Write(body));
  }

  /**
   * Returns when the lease may be claimed. By then its holder has stopped acting, even if both
   * clocks have the maximum rate error.
   */
  private long claimAtMs() {
    if (lastLease.isEmpty()) {
      return Long.MIN_VALUE;
    }
    LeaseState current = lastLease.get();
    long waitMs = current.isReleased() ? 0 : LeaseTimes.claimantWaitMs(current.getDurationMs());
    return lastReadMs + waitMs + claimDelayMs;
  }

  private LeaseAgent withLease(
      Optional<LeaseState> nextLease,
      long readMs,
      Optional<LeaseValidity> nextValidity,
      boolean stillPending) {
    return new LeaseAgent(
        role,
        self,
        nextLease,
        readMs,
        nextValidity,
        stillPending,
        renewAtMs,
        eligible,
        claimDelayMs,
        resigned,
        announcedToken);
  }

  private LeaseAgent withCandidacy(boolean nextEligible, long nextClaimDelayMs) {
    return new LeaseAgent(
        role,
        self,
        lastLease,
        lastReadMs,
        validity,
        writePending,
        renewAtMs,
        nextEligible,
        nextClaimDelayMs,
        resigned,
        announcedToken);
  }

  private LeaseAgent withResigned() {
    return new LeaseAgent(
        role,
        self,
        lastLease,
        lastReadMs,
        validity,
        writePending,
        renewAtMs,
        false,
        claimDelayMs,
        true,
        announcedToken);
  }

  private LeaseAgent withAnnounced(OptionalLong token) {
    return new LeaseAgent(
        role,
        self,
        lastLease,
        lastReadMs,
        validity,
        writePending,
        renewAtMs,
        eligible,
        claimDelayMs,
        resigned,
        token);
  }
}
