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
  private final OptionalLong contactMs;
  private final Map<String, Known> others;
  private final Rumours rumours;
  private final Map<Long, OpenProbe> probes;
  private final List<String> hints;
  private final Timetable times;

  /**
   * When the process does what next.
   *
   * @param lastStepMs time of the last event
   * @param probeMs time of the next probe
   * @param exchangeMs time of the next comparison of whole lists
   * @param number number of the newest probe
   */
  record Timetable(long lastStepMs, long probeMs, long exchangeMs, long number) {}

  Membership(
      Member self,
      OptionalLong contactMs,
      Map<String, Known> others,
      Rumours rumours,
      Map<Long, OpenProbe> probes,
      List<String> hints,
      Timetable times) {
    this.self = self;
    this.contactMs = contactMs;
    this.others = Collections.unmodifiableMap(others);
    this.rumours = rumours;
    this.probes = Collections.unmodifiableMap(probes);
    this.hints = List.copyOf(hints);
    this.times = times;
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
        Rumours.none().with(self.getIncarnation().getVm()),
        new TreeMap<>(),
        seedAddresses,
        new Timetable(nowMs, nowMs, nowMs, 0));
  }

  /**
   * Takes an event.
   *
   * @param event the event
   * @param nowMs current time
   * @param random source of the order of probes
   * @return the next view, and what to do
   */
  public Step<Membership, MemberAction> on(MemberEvent event, long nowMs, RandomSource random) {
    return new MembershipStep(this, nowMs, random).take(event);
  }

  /**
   * Tells when the membership next needs a tick.
   *
   * @return the time
   */
  public long deadlineMs() {
    long next = Math.min(times.probeMs(), times.exchangeMs());
    for (OpenProbe probe : probes.values()) {
      next = Math.min(next, probe.deadlineMs());
    }
    for (Known known : others.values()) {
      if (known.member().getState() == MemberState.SUSPECT) {
        next = Math.min(next, known.sinceMs() + MemberTimes.SUSPICION_MS);
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
  public Optional<Known> find(String vm) {
    return Optional.ofNullable(others.get(vm));
  }

  /** Returns what is known of all other VMs, in order of VM. */
  public Collection<Known> others() {
    return others.values();
  }

  /**
   * Returns the other members that are not dead.
   *
   * @return members in order of VM
   */
  public List<Known> live() {
    return others.values().stream().filter(Known::isLive).toList();
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

  OptionalLong contactMs() {
    return contactMs;
  }

  Rumours rumours() {
    return rumours;
  }

  Map<Long, OpenProbe> probes() {
    return probes;
  }

  List<String> hints() {
    return hints;
  }

  Timetable times() {
    return times;
  }

  Map<String, Known> byVm() {
    return others;
  }
}
