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
  private final CoordinatorConfig config;
  private final ControlState controlState;

  Coordinator(CoordinatorConfig config, ControlState controlState) {
    this.config = config;
    this.controlState = controlState;
  }

  /**
   * Makes the coordinator of a process that has read nothing and joins.
   *
   * @param config the process
   * @param now current time
   * @return the coordinator; its first tick starts everything
   */
  public static Coordinator create(CoordinatorConfig config, ClockReading now) {
    Objects.requireNonNull(config, "entrant");
    String region = config.joined().getRegion();
    ControlState.Progress progress =
        new ControlState.Progress(
            false, false, false, false, false, now.monotonicMs(), now.monotonicMs());
    ControlState controlState =
        new ControlState(
            LogReader.atStart(),
            LogWriter.of(config.self()).enqueue(config.joined()),
            Freshness.none(),
            LeaseAgent.of("fleet/" + region, config.self()),
            LeaseAgent.of("usage/" + region, config.self()),
            Membership.of(initialMember(config), config.seedPeers(), now.monotonicMs()),
            OutageReports.of(config.self().getVm()),
            EndedProcessDetector.initial(),
            Orderer.of(region, config.self()),
            UsageStore.of(region, config.self()),
            UsageReporter.of(region, config.self()),
            CheckpointSchedule.withRetention(config.retentionRecords()),
            RecordRelay.empty(),
            progress);
    return new Coordinator(config, controlState);
  }

  private static Member initialMember(CoordinatorConfig config) {
    return new Member(
        config.self(),
        config.joined().getRegion(),
        config.joined().getFailureDomain(),
        config.joined().getHttpAddress(),
        config.joined().getPeerAddress(),
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
  public Step<Coordinator, CoordinatorAction> handle(
      CoordinatorEvent event, ClockReading now, RandomSource random) {
    return new CoordinatorStep(config, controlState, now, random).handle(event);
  }

  /**
   * Tells when the coordinator next needs a tick.
   *
   * @param now current time
   * @return the time on the monotonic clock
   */
  public long deadlineMs(ClockReading now) {
    return Deadlines.nextTickMs(controlState, now);
  }

  /** Returns the state folded from the log. */
  public FoldedState state() {
    return controlState.logReader().state();
  }

  /** Returns how fresh the state is. */
  public Freshness freshness() {
    return controlState.freshness();
  }

  /** Returns the view of the living entries. */
  public Membership membership() {
    return controlState.membership();
  }

  /** Returns where the log is to be read next. */
  public long nextOffset() {
    return controlState.logReader().nextOffset();
  }

  /**
   * Tells whether keyed requests may be served.
   *
   * @param nowMs current time
   * @return true while the state is fresh and the process has not ended; a process that starts
   *     without log contact serves with the records of a peer before it can join
   */
  public boolean mayServe(long nowMs) {
    return !state().hasEnded(config.self()) && controlState.freshness().isFresh(nowMs);
  }

  /**
   * Tells whether the process must run no ticket and use no pieces.
   *
   * @param nowMs current time
   * @return true where it is fenced, has not joined or has ended
   */
  public boolean isFenced(long nowMs) {
    return !state().isLive(config.self()) || controlState.freshness().isFenced(nowMs);
  }

  /**
   * Returns the agent of the fleet lease.
   *
   * @return the agent, which tells whether orders may be sent
   */
  public LeaseAgent fleetLease() {
    return controlState.fleetLease();
  }

  /**
   * Returns the agent of the usage lease.
   *
   * @return the agent, which tells whether reports may be sent
   */
  public LeaseAgent usageLease() {
    return controlState.usageLease();
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
        Optional.ofNullable(state().pieces().get(config.joined().getRegion()));
    return table.map(PieceTable::getRanges).orElse(List.of()).stream()
        .filter(range -> range.getHolder().equals(config.self()))
        .toList();
  }

  /**
   * Tells whether the own end was read in the log.
   *
   * @return true once the process must stop
   */
  public boolean hasEnded() {
    return controlState.progress().endRead();
  }

  /**
   * Returns the age of the last log contact.
   *
   * @param nowMs current time
   * @return milliseconds, or empty before the first contact
   */
  public OptionalLong logContactAgeMs(long nowMs) {
    return controlState.freshness().ownContactAgeMs(nowMs);
  }
}
