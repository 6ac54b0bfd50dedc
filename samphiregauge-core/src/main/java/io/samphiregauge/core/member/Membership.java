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
 * View of the living entries, kept up to date by gossip; immutable.
 *
 * <pre>{@code
 * Step<Membership, MemberAction> step = members.on(new MemberEvent.Tick(), nowMs, random);
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
   * When the process does what next.
   *
   * @param lastStepMs time of the last event
   * @param nextProbeMs time of the next probe
   * @param nextExchangeMs time of the next comparison of whole lists
   * @param lastProbeNumber number of the newest probe
   */
  record Schedule(long lastStepMs, long nextProbeMs, long nextExchangeMs, long lastProbeNumber) {}

  Membership(
      Member self,
      OptionalLong contactMs,
      Map<String, KnownMember> others,
      BroadcastQueue rumours,
      Map<Long, PendingProbe> probes,
      List<String> hints,
      Schedule times) {
    this.self = self;
    this.logContactMs = contactMs;
    this.others = Collections.unmodifiableMap(others);
    this.broadcasts = rumours;
    this.pendingProbes = Collections.unmodifiableMap(probes);
    this.hintedAddresses = List.copyOf(hints);
    this.schedule = times;
  }

  /**
   * Makes the view of a process that knows only itself.
   *
   * @param self the process, alive
   * @param seedAddresses peer addresses to try first
   * @param nowMs current time
   * @return the view
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
   * Takes an event.
   *
   * @param event the event
   * @param nowMs current time
   * @param random source of the order of probes
   * @return the next view, and what to do
   */
  public Step<Membership, MemberAction> apply(MemberEvent event, long nowMs, RandomSource random) {
    return new MembershipStep(this, nowMs, random).apply(event);
  }

  /**
   * Tells when the membership next needs a tick.
   *
   * @return the time
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
   * Returns how this process describes itself.
   *
   * @return the own member
   */
  public Member self() {
    return self;
  }

  /**
   * Finds what is known of another VM.
   *
   * @param vm identifier of the VM
   * @return what is known, dead or not
   */
  public Optional<KnownMember> find(String vm) {
    return Optional.ofNullable(others.get(vm));
  }

  /** Returns what is known of all other VMs, in order of VM. */
  public Collection<KnownMember> others() {
    return others.values();
  }

  /**
   * Returns the other members that are not dead.
   *
   * @return members in order of VM
   */
  public List<KnownMember> live() {
    return others.values().stream().filter(KnownMember::isLive).toList();
  }

  /**
   * Tells whether an incarnation is confirmed dead here.
   *
   * @param incarnation the incarnation
   * @return true while its death is not refuted
   */
  public boolean isConfirmedDead(Incarnation incarnation) {
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
