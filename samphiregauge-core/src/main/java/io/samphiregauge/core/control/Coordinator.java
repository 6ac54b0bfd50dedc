package io.samphiregauge.core.control;

import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.core.lease.LeaseAgent;
import io.samphiregauge.core.log.CheckpointSchedule;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.log.Freshness;
import io.samphiregauge.core.log.LogReader;
import io.samphiregauge.core.log.LogWriter;
import io.samphiregauge.core.member.EndedProcessDetector;
import io.samphiregauge.core.member.Membership;
import io.samphiregauge.core.member.OutageReports;
import io.samphiregauge.core.order.Orderer;
import io.samphiregauge.core.usage.UsageReporter;
import io.samphiregauge.core.usage.UsageStore;
import io.samphiregauge.schema.peer.Member;
import io.samphiregauge.schema.peer.MemberState;
import io.samphiregauge.schema.record.PieceRange;
import io.samphiregauge.schema.record.PieceTable;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Coordinates one process with the others through the log and by gossip; immutable. The owner hands
 * it events one after another and does what it asks for; it does no I/O and reads no clock.
 *
 * <pre>{@code
 * Coordinator coordinator = Coordinator.joining(Entrant.of(self, joined), now);
 * Step<Coordinator, CoordinatorAction> step =
 *     coordinator.on(new CoordinatorEvent.PageRead(page, requestSentMs), now, random);
 * step.actions().forEach(this::perform);
 * if (step.state().mayServe(now.ms())) { ... }
 * }</pre>
 */
public final class Coordinator {
  private final Entrant entrant;
  private final ControlState parts;

  Coordinator(Entrant entrant, ControlState parts) {
    this.entrant = entrant;
    this.parts = parts;
  }

  /**
   * Makes the coordinator of a process that has read nothing and joins.
   *
   * @param entrant the process
   * @param now current time
   * @return the coordinator; its first tick starts everything
   */
  public static Coordinator joining(Entrant entrant, Now now) {
    Objects.requireNonNull(entrant, "entrant");
    String region = entrant.joined().getRegion();
    ControlState.Progress start =
        new ControlState.Progress(false, false, false, false, false, now.ms(), now.ms());
    ControlState parts =
        new ControlState(
            LogReader.atStart(),
            LogWriter.of(entrant.self()).enqueue(entrant.joined()),
            Freshness.none(),
            LeaseAgent.of("fleet/" + region, entrant.self()),
            LeaseAgent.of("usage/" + region, entrant.self()),
            Membership.of(member(entrant), entrant.seedPeers(), now.ms()),
            OutageReports.of(entrant.self().getVm()),
            EndedProcessDetector.initial(),
            Orderer.of(region, entrant.self()),
            UsageStore.of(region, entrant.self()),
            UsageReporter.of(region, entrant.self()),
            CheckpointSchedule.withRetention(entrant.retentionRecords()),
            Relay.none(),
            start);
    return new Coordinator(entrant, parts);
  }

  private static Member member(Entrant entrant) {
    return new Member(
        entrant.self(),
        entrant.joined().getRegion(),
        entrant.joined().getFailureDomain(),
        entrant.joined().getHttpAddress(),
        entrant.joined().getPeerAddress(),
        MemberState.ALIVE,
        0,
        FoldedState.empty().upToOffset(),
        -1);
  }

  /**
   * Takes an event.
   *
   * @param event the event
   * @param now time of the event
   * @param random source of jitter and of the order of probes
   * @return the next coordinator, and what to do
   */
  public Step<Coordinator, CoordinatorAction> on(
      CoordinatorEvent event, Now now, RandomSource random) {
    return new CoordinatorStep(entrant, parts, now, random).take(event);
  }

  /**
   * Tells when the coordinator next needs a tick.
   *
   * @param now current time
   * @return the time on the monotonic clock
   */
  public long deadlineMs(Now now) {
    return Deadlines.next(parts, now);
  }

  /** Returns the state folded from the log. */
  public FoldedState state() {
    return parts.reader().state();
  }

  /** Returns how fresh the state is. */
  public Freshness freshness() {
    return parts.freshness();
  }

  /** Returns the view of the living entries. */
  public Membership members() {
    return parts.members();
  }

  /** Returns where the log is to be read next. */
  public long nextOffset() {
    return parts.reader().nextOffset();
  }

  /**
   * Tells whether keyed requests may be served.
   *
   * @param nowMs current time
   * @return true while the state is fresh and the process has not ended; a process that starts
   *     without log contact serves with the records of a peer before it can join
   */
  public boolean mayServe(long nowMs) {
    return !state().hasEnded(entrant.self()) && parts.freshness().isFresh(nowMs);
  }

  /**
   * Tells whether the process must run no ticket and use no pieces.
   *
   * @param nowMs current time
   * @return true where it is fenced, has not joined or has ended
   */
  public boolean isFenced(long nowMs) {
    return !state().isLive(entrant.self()) || parts.freshness().isFenced(nowMs);
  }

  /**
   * Returns the agent of the fleet lease.
   *
   * @return the agent, which tells whether orders may be sent
   */
  public LeaseAgent fleetLease() {
    return parts.fleet();
  }

  /**
   * Returns the agent of the usage lease.
   *
   * @return the agent, which tells whether reports may be sent
   */
  public LeaseAgent usageLease() {
    return parts.usage();
  }

  /**
   * Returns the pieces of capacity that the process may use.
   *
   * @param nowMs current time
   * @return its pieces, none while it is fenced
   */
  public List<PieceRange> pieces(long nowMs) {
    if (isFenced(nowMs)) {
      return List.of();
    }
    Optional<PieceTable> table =
        Optional.ofNullable(state().pieces().get(entrant.joined().getRegion()));
    return table.map(PieceTable::getRanges).orElse(List.of()).stream()
        .filter(range -> range.getHolder().equals(entrant.self()))
        .toList();
  }

  /**
   * Tells whether the own end was read in the log.
   *
   * @return true once the process must stop
   */
  public boolean hasEnded() {
    return parts.progress().endSeen();
  }

  /**
   * Returns the age of the last log contact.
   *
   * @param nowMs current time
   * @return milliseconds, or empty before the first contact
   */
  public OptionalLong logContactAgeMs(long nowMs) {
    return parts.freshness().ownContactAgeMs(nowMs);
  }
}
