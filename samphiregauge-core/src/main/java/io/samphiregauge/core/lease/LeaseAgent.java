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
 * @param last last accepted lease record, as a state
 * @param lastReadMs time after the read of that record
 * @param validUntilMs end of the own lease; meaningful only while {@code last} names this process
 * @param pending whether an own lease record was written and not read back
 * @param renewAtMs time of the next renewal
 * @param wanted whether the process may claim
 * @param delayMs time between the expiry of a lease and the claim
 * @param resigned whether the process gave up
 * @param announced token that {@link LeaseAction.Gained} was last reported for, until it is lost
 */
public record LeaseAgent(
    String role,
    Incarnation self,
    Optional<LeaseState> last,
    long lastReadMs,
    long validUntilMs,
    boolean pending,
    long renewAtMs,
    boolean wanted,
    long delayMs,
    boolean resigned,
    OptionalLong announced) {

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
  public Step<LeaseAgent, LeaseAction> on(LeaseEvent event, long nowMs) {
    LeaseAgent seen = take(event, nowMs);
    Step<LeaseAgent, LeaseAction> announced = seen.announce(nowMs);
    if (event instanceof LeaseEvent.Read || event instanceof LeaseEvent.Restored) {
      // More records of the same page may follow; what is due is written at the next tick.
      return announced;
    }
    return announced.state().write(nowMs).prepend(announced.actions());
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
    return mayAct(nowMs) ? OptionalLong.of(last.orElseThrow().getToken()) : OptionalLong.empty();
  }

  /**
   * Tells when the agent next needs a tick.
   *
   * @return the time, or empty where only an event changes anything
   */
  public OptionalLong deadlineMs() {
    if (announced.isPresent()) {
      boolean renews = wanted && !pending;
      return OptionalLong.of(renews ? Math.min(renewAtMs, validUntilMs) : validUntilMs);
    }
    boolean waits = wanted && !pending && !resigned;
    return waits ? OptionalLong.of(claimAtMs()) : OptionalLong.empty();
  }

  private LeaseAgent take(LeaseEvent event, long nowMs) {
    if (event instanceof LeaseEvent.Read read) {
      return read(read, nowMs);
    }
    if (event instanceof LeaseEvent.Candidacy candidacy) {
      return withCandidacy(candidacy.wanted(), candidacy.delayMs());
    }
    if (event instanceof LeaseEvent.Restored restored) {
      // Own records may be among those that were skipped, so none counts as held or pending.
      return withLast(restored.lease(), nowMs, Long.MIN_VALUE, false);
    }
    return event instanceof LeaseEvent.Resign ? withResigned() : this;
  }

  private LeaseAgent read(LeaseEvent.Read read, long nowMs) {
    LogRecord entry = read.entry();
    if (!isOfRole(entry.getBody())) {
      return this;
    }
    boolean own = entry.getWriter().equals(self);
    boolean stillPending = pending && !own;
    if (!read.accepted()) {
      return withLast(last, lastReadMs, validUntilMs, stillPending);
    }
    long until = own ? validUntil(read) : Long.MIN_VALUE;
    return withLast(stateAfter(read), nowMs, until, stillPending);
  }

  /** The lease counts from before the send; without a known send time it does not count at all. */
  private long validUntil(LeaseEvent.Read read) {
    if (read.firstSentMs().isEmpty()) {
      return Long.MIN_VALUE;
    }
    long duration =
        read.entry().getBody() instanceof LeaseClaim claim
            ? claim.getDurationMs()
            : last.map(LeaseState::getDurationMs).orElse(0L);
    return read.firstSentMs().getAsLong() + LeaseTimes.holderMs(duration);
  }

  private Optional<LeaseState> stateAfter(LeaseEvent.Read read) {
    Incarnation writer = read.entry().getWriter();
    if (read.entry().getBody() instanceof LeaseClaim claim) {
      return Optional.of(
          new LeaseState(role, read.offset(), read.offset(), claim.getDurationMs(), false, writer));
    }
    boolean released = read.entry().getBody() instanceof LeaseRelease;
    return last.map(
        l ->
            new LeaseState(role, l.getToken(), read.offset(), l.getDurationMs(), released, writer));
  }

  private boolean isOfRole(RecordBody body) {
    if (body instanceof LeaseClaim claim) {
      return claim.getRole().equals(role);
    }
    if (body instanceof LeaseRenewal renewal) {
      return renewal.getRole().equals(role);
    }
    return body instanceof LeaseRelease release && release.getRole().equals(role);
  }

  private boolean isOwn() {
    return last.filter(l -> !l.isReleased() && l.getHolder().equals(self)).isPresent();
  }

  private boolean isHeld(long nowMs) {
    return isOwn() && !resigned && nowMs < validUntilMs;
  }

  private Step<LeaseAgent, LeaseAction> announce(long nowMs) {
    OptionalLong held =
        isHeld(nowMs) ? OptionalLong.of(last.orElseThrow().getToken()) : OptionalLong.empty();
    if (held.equals(announced)) {
      return Step.to(this);
    }
    LeaseAgent next = withAnnounced(held);
    List<LeaseAction> lost =
        announced.isPresent() ? List.of(new LeaseAction.Lost(announced.getAsLong())) : List.of();
    return held.isPresent()
        ? Step.<LeaseAgent, LeaseAction>to(next, new LeaseAction.Gained(held.getAsLong()))
            .prepend(lost)
        : new Step<>(next, lost);
  }

  private Step<LeaseAgent, LeaseAction> write(long nowMs) {
    if (pending) {
      return Step.to(this);
    }
    if (isOwn()) {
      return writeOwn(nowMs);
    }
    if (!wanted || resigned || nowMs < claimAtMs()) {
      return Step.to(this);
    }
    long supersedes = last.map(LeaseState::getLastOffset).orElse(NO_OFFSET);
    return written(new LeaseClaim(role, supersedes, LeaseTimes.DURATION_MS), nowMs);
  }

  private Step<LeaseAgent, LeaseAction> writeOwn(long nowMs) {
    long token = last.orElseThrow().getToken();
    if (resigned) {
      return written(new LeaseRelease(role, token), nowMs);
    }
    boolean due = nowMs >= renewAtMs || nowMs >= validUntilMs;
    return due && wanted ? written(new LeaseRenewal(role, token), nowMs) : Step.to(this);
  }

  private Step<LeaseAgent, LeaseAction> written(RecordBody body, long nowMs) {
    LeaseAgent next =
        new LeaseAgent(
            role,
            self,
            last,
            lastReadMs,
            validUntilMs,
            true,
            nowMs + LeaseTimes.RENEWAL_MS,
            wanted,
            delayMs,
            resigned,
            announced);
    return Step.to(next, new LeaseAction.Write(body));
  }

  /** A lease may be claimed once its holder must have stopped, whatever the two clocks' rates. */
  private long claimAtMs() {
    if (last.isEmpty()) {
      return Long.MIN_VALUE;
    }
    LeaseState lease = last.get();
    long waitMs = lease.isReleased() ? 0 : LeaseTimes.claimantMs(lease.getDurationMs());
    return lastReadMs + waitMs + delayMs;
  }

  private LeaseAgent withLast(
      Optional<LeaseState> next, long readMs, long until, boolean stillPending) {
    return new LeaseAgent(
        role,
        self,
        next,
        readMs,
        until,
        stillPending,
        renewAtMs,
        wanted,
        delayMs,
        resigned,
        announced);
  }

  private LeaseAgent withCandidacy(boolean nextWanted, long nextDelayMs) {
    return new LeaseAgent(
        role,
        self,
        last,
        lastReadMs,
        validUntilMs,
        pending,
        renewAtMs,
        nextWanted,
        nextDelayMs,
        resigned,
        announced);
  }

  private LeaseAgent withResigned() {
    return new LeaseAgent(
        role,
        self,
        last,
        lastReadMs,
        validUntilMs,
        pending,
        renewAtMs,
        false,
        delayMs,
        true,
        announced);
  }

  private LeaseAgent withAnnounced(OptionalLong token) {
    return new LeaseAgent(
        role,
        self,
        last,
        lastReadMs,
        validUntilMs,
        pending,
        renewAtMs,
        wanted,
        delayMs,
        resigned,
        token);
  }
}
