package io.samphiregauge.core.lease;

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
 * Step<LeaseAgent, LeaseAction> step = agent.on(new LeaseEvent.Tick(), nowMs);
 * if (step.state().mayAct(nowMs)) { ... }
 * }</pre>
 *
 * @param role role of the lease
 * @param self the process
 * @param lastLease last accepted lease record, as a state
 * @param lastReadMs time after the read of that record
 * @param validUntilMs end of the own lease; meaningful only while {@code last} names this process
 * @param writePending whether an own lease record was written and not read back
 * @param renewAtMs time of the next renewal
 * @param eligible whether the process may claim
 * @param claimDelayMs time between the expiry of a lease and the claim
 * @param resigned whether the process gave up
 * @param announcedToken token that {@link LeaseAction.Gained} was last reported for, until it is
 *     lost
 */
public record LeaseAgent(
    String role,
    Incarnation self,
    Optional<LeaseState> lastLease,
    long lastReadMs,
    long validUntilMs,
    boolean writePending,
    long renewAtMs,
    boolean eligible,
    long claimDelayMs,
    boolean resigned,
    OptionalLong announcedToken) {

  /** Offset that a first claim supersedes. */
  private static final long NO_OFFSET = -1;

  /**
   * Makes the agent of a process that has read nothing.
   *
   * @param role role of the lease, such as {@code fleet/luzon}
   * @param self the process
   * @return the agent
   */
  public static LeaseAgent of(String role, Incarnation self) {
    return new LeaseAgent(
        role,
        self,
        Optional.empty(),
        Long.MIN_VALUE,
        Long.MIN_VALUE,
        false,
        Long.MAX_VALUE,
        false,
        0,
        false,
        OptionalLong.empty());
  }

  /**
   * Takes an event.
   *
   * @param event the event
   * @param nowMs current time
   * @return the next agent, and what to do
   */
  public Step<LeaseAgent, LeaseAction> handle(LeaseEvent event, long nowMs) {
    LeaseAgent updated = apply(event, nowMs);
    Step<LeaseAgent, LeaseAction> announced = updated.announceChange(nowMs);
    if (event instanceof LeaseEvent.Read || event instanceof LeaseEvent.Restored) {
      // More records of the same page may follow; what is due is written at the next tick.
      return announced;
    }
    return announced.state().writeIfDue(nowMs).prepend(announced.actions());
  }

  /**
   * Tells whether an action under the lease may start. It is checked at the last step before the
   * socket write.
   *
   * @param nowMs current time
   * @return true while at least {@link LeaseTimes#ACTION_GUARD_MS} of the lease remain
   */
  public boolean mayAct(long nowMs) {
    return isHeld(nowMs) && nowMs + LeaseTimes.ACTION_GUARD_MS <= validUntilMs;
  }

  /**
   * Returns the fencing token of the held lease.
   *
   * @param nowMs current time
   * @return the token, or empty where {@link #mayAct} is false
   */
  public OptionalLong token(long nowMs) {
    return mayAct(nowMs)
        ? OptionalLong.of(lastLease.orElseThrow().getToken())
        : OptionalLong.empty();
  }

  /**
   * Tells when the agent next needs a tick.
   *
   * @return the time, or empty where only an event changes anything
   */
  public OptionalLong deadlineMs() {
    if (announcedToken.isPresent()) {
      boolean willRenew = eligible && !writePending;
      return OptionalLong.of(willRenew ? Math.min(renewAtMs, validUntilMs) : validUntilMs);
    }
    boolean willClaim = eligible && !writePending && !resigned;
    return willClaim ? OptionalLong.of(claimAtMs()) : OptionalLong.empty();
  }

  private LeaseAgent apply(LeaseEvent event, long nowMs) {
    if (event instanceof LeaseEvent.Read read) {
      return applyRead(read, nowMs);
    }
    if (event instanceof LeaseEvent.Candidacy candidacy) {
      return withCandidacy(candidacy.eligible(), candidacy.claimDelayMs());
    }
    if (event instanceof LeaseEvent.Restored restored) {
      // Own records may be among those that were skipped, so none counts as held or pending.
      return withLease(restored.lease(), nowMs, Long.MIN_VALUE, false);
    }
    return event instanceof LeaseEvent.Resign ? withResigned() : this;
  }

  private LeaseAgent applyRead(LeaseEvent.Read read, long nowMs) {
    LogRecord logRecord = read.logRecord();
    if (!isForRole(logRecord.getBody())) {
      return this;
    }
    boolean own = logRecord.getWriter().equals(self);
    boolean stillPending = writePending && !own;
    if (!read.accepted()) {
      return withLease(lastLease, lastReadMs, validUntilMs, stillPending);
    }
    long untilMs = own ? computeValidUntilMs(read) : Long.MIN_VALUE;
    return withLease(leaseAfter(read), nowMs, untilMs, stillPending);
  }

  /** The lease counts from before the send; without a known send time it does not count at all. */
  private long computeValidUntilMs(LeaseEvent.Read read) {
    if (read.firstSentMs().isEmpty()) {
      return Long.MIN_VALUE;
    }
    long durationMs =
        read.logRecord().getBody() instanceof LeaseClaim claim
            ? claim.getDurationMs()
            : lastLease.map(LeaseState::getDurationMs).orElse(0L);
    return read.firstSentMs().getAsLong() + LeaseTimes.holderDurationMs(durationMs);
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

  private boolean isHeld(long nowMs) {
    return isHolder() && !resigned && nowMs < validUntilMs;
  }

  private Step<LeaseAgent, LeaseAction> announceChange(long nowMs) {
    OptionalLong heldToken =
        isHeld(nowMs) ? OptionalLong.of(lastLease.orElseThrow().getToken()) : OptionalLong.empty();
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

  private Step<LeaseAgent, LeaseAction> writeIfDue(long nowMs) {
    if (writePending) {
      return Step.to(this);
    }
    if (isHolder()) {
      return renewOrRelease(nowMs);
    }
    if (!eligible || resigned || nowMs < claimAtMs()) {
      return Step.to(this);
    }
    long supersedes = lastLease.map(LeaseState::getLastOffset).orElse(NO_OFFSET);
    return withWrite(new LeaseClaim(role, supersedes, LeaseTimes.DURATION_MS), nowMs);
  }

  private Step<LeaseAgent, LeaseAction> renewOrRelease(long nowMs) {
    long token = lastLease.orElseThrow().getToken();
    if (resigned) {
      return withWrite(new LeaseRelease(role, token), nowMs);
    }
    boolean renewalDue = nowMs >= renewAtMs || nowMs >= validUntilMs;
    return renewalDue && eligible ? withWrite(new LeaseRenewal(role, token), nowMs) : Step.to(this);
  }

  private Step<LeaseAgent, LeaseAction> withWrite(RecordBody body, long nowMs) {
    LeaseAgent next =
        new LeaseAgent(
            role,
            self,
            lastLease,
            lastReadMs,
            validUntilMs,
            true,
            nowMs + LeaseTimes.RENEWAL_PERIOD_MS,
            eligible,
            claimDelayMs,
            resigned,
            announcedToken);
    return Step.to(next, new LeaseAction.Write(body));
  }

  /** A lease may be claimed once its holder must have stopped, whatever the two clocks' rates. */
  private long claimAtMs() {
    if (lastLease.isEmpty()) {
      return Long.MIN_VALUE;
    }
    LeaseState current = lastLease.get();
    long waitMs = current.isReleased() ? 0 : LeaseTimes.claimantWaitMs(current.getDurationMs());
    return lastReadMs + waitMs + claimDelayMs;
  }

  private LeaseAgent withLease(
      Optional<LeaseState> nextLease, long readMs, long untilMs, boolean stillPending) {
    return new LeaseAgent(
        role,
        self,
        nextLease,
        readMs,
        untilMs,
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
        validUntilMs,
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
        validUntilMs,
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
        validUntilMs,
        writePending,
        renewAtMs,
        eligible,
        claimDelayMs,
        resigned,
        token);
  }
}
