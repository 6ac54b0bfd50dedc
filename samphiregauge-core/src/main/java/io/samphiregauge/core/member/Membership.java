package io.samphiregauge.core.member;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.schema.peer.Member;
import io.samphiregauge.schema.peer.MemberState;
import io.samphiregauge.schema.record.Incarnation;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Member list of the entries, maintained by gossip; immutable.
 *
 * <pre>{@code
 * Step<Membership, MemberAction> step = members.handle(new MemberEvent.Tick(), nowMs, random);
 * boolean dead = step.state().isConfirmedDead(incarnation);
 * }</pre>
 */
public final class Membership {
  private final Member self;
  private final OptionalLong logContactMs;
  private final Map<String, KnownMember> others;
  private final BroadcastQueue broadcasts;
  private final Map<Long, PendingProbe> pendingProbes;
  private final List<String> hintedAddresses;
  private final Schedule schedule;

  /**
   * Deadlines and counters of the protocol.
   *
   * @param lastStepMs time of the last event
   * @param nextProbeMs time of the next probe
   * @param nextExchangeMs time of the next digest exchange
   * @param lastProbeNumber number of the last probe sent
   */
  record Schedule(long lastStepMs, long nextProbeMs, long nextExchangeMs, long lastProbeNumber) {}

  Membership(
      Member self,
      OptionalLong logContactMs,
      Map<String, KnownMember> others,
      BroadcastQueue broadcasts,
      Map<Long, PendingProbe> pendingProbes,
      List<String> hintedAddresses,
      Schedule schedule) {
    this.self = self;
    this.logContactMs = logContactMs;
    this.others = Collections.unmodifiableMap(others);
    this.broadcasts = broadcasts;
    this.pendingProbes = Collections.unmodifiableMap(pendingProbes);
    this.hintedAddresses = List.copyOf(hintedAddresses);
    this.schedule = schedule;
  }

  /**
   * Creates the member list of a process that has not contacted any other member.
   *
   * @param self this process, in state alive
   * @param seedAddresses peer addresses for the initial exchange
   * @param nowMs current time
   * @return the member list
   */
  public static Membership of(Member self, List<String> seedAddresses, long nowMs) {
    return new Membership(
        self,
        OptionalLong.empty(),
        new TreeMap<>(),
        BroadcastQueue.empty().withUpdate(self.getIncarnation().getVm()),
        new TreeMap<>(),
        seedAddresses,
        new Schedule(nowMs, nowMs, nowMs, 0));
  }

  /**
   * Handles an event.
   *
   * @param event the event
   * @param nowMs current time
   * @param random source of randomness for choosing members
   * @return the next member list, and the actions to perform
   */
  public Step<Membership, MemberAction> handle(MemberEvent event, long nowMs, RandomSource random) {
    return new MembershipEventHandler(this, nowMs, random).handle(event);
  }

  /**
   * Returns when the next tick is due.
   *
   * @return time on the clock of the process
   */
  public long deadlineMs() {
    long next = Math.min(schedule.nextProbeMs(), schedule.nextExchangeMs());
    for (PendingProbe probe : pendingProbes.values()) {
      next = Math.min(next, probe.deadlineMs());
    }
    for (KnownMember known : others.values()) {
      if (known.member().getState() == MemberState.SUSPECT) {
        next = Math.min(next, known.stateSinceMs() + GossipParameters.SUSPICION_TIMEOUT_MS);
      }
    }
    return next;
  }

  /**
   * Returns the member that represents this process.
   *
   * @return this process
   */
  public Member self() {
    return self;
  }

  /**
   * Looks up the member on another VM.
   *
   * @param vm identifier of the VM
   * @return the member in any state, including dead, or empty
   */
  public Optional<KnownMember> find(String vm) {
    return Optional.ofNullable(others.get(vm));
  }

  /** Returns all other members, including dead ones, ordered by VM. */
  public Collection<KnownMember> others() {
    return others.values();
  }

  /**
   * Returns the other members that are not dead.
   *
   * @return members ordered by VM
   */
  public List<KnownMember> live() {
    return others.values().stream().filter(KnownMember::isLive).toList();
  }

  /**
   * Returns whether this process presumes an incarnation dead.
   *
   * @param incarnation the incarnation
   * @return true if this process knows the incarnation and has it in state dead; a refutation by
   *     the incarnation changes the state
   */
  public boolean isPresumedDead(Incarnation incarnation) {
    return find(incarnation.getVm())
        .filter(known -> known.member().getIncarnation().equals(incarnation))
        .filter(known -> !known.isLive())
        .isPresent();
  }

  OptionalLong logContactMs() {
    return logContactMs;
  }

  BroadcastQueue broadcasts() {
    return broadcasts;
  }

  Map<Long, PendingProbe> pendingProbes() {
    return pendingProbes;
  }

  List<String> hintedAddresses() {
    return hintedAddresses;
  }

  Schedule schedule() {
    return schedule;
  }

  Map<String, KnownMember> othersByVm() {
    return others;
  }
}
