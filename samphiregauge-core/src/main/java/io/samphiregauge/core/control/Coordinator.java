package io.samphiregauge.core.control;

import io.samphiregauge.core.DualTimestamp;
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
 * Coordinates one process with the others through the log and by gossip; immutable. The owner
 * passes in events one at a time and performs the returned actions. The coordinator does no I/O and
 * reads no clock.
 *
 * <pre>{@code
 * Coordinator coordinator = Coordinator.create(CoordinatorConfig.of(self, joined), now);
 * Step<Coordinator, CoordinatorAction> step =
 *     coordinator.handle(new CoordinatorEvent.PageRead(page, requestSentAt), now, random);
 * step.actions().forEach(this::perform);
 * if (step.state().mayServe(now)) { ... }
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
   * Creates the coordinator of a process that has read nothing and is about to join.
   *
   * @param config identity and policies of the process
   * @param now current time
   * @return the coordinator; it requests its first tick immediately
   */
  public static Coordinator create(CoordinatorConfig config, DualTimestamp now) {
    Objects.requireNonNull(config, "config");
    String region = config.joined().getRegion();
    ControlState.TaskState taskState =
        new ControlState.TaskState(
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
            taskState);
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
   * Handles an event, then runs the tasks that are due. A {@link CoordinatorEvent.UsageRecorded}
   * makes no task due, and no task runs once the end of this incarnation was read.
   *
   * @param event the event
   * @param now time of the event
   * @param random source of randomness
   * @return the next coordinator, and the actions to perform
   */
  public Step<Coordinator, CoordinatorAction> handle(
      CoordinatorEvent event, DualTimestamp now, RandomSource random) {
    return new CoordinatorEventHandler(config, controlState, now, random).handle(event);
  }

  /**
   * Returns when the coordinator next needs a {@link CoordinatorEvent.Tick}.
   *
   * @param now current time
   * @return time on the monotonic clock, in milliseconds
   */
  public long deadlineMs(DualTimestamp now) {
    return Deadlines.nextTickMs(controlState, now);
  }

  /** Returns the state folded from the log. */
  public FoldedState state() {
    return controlState.logReader().state();
  }

  /** Returns how recent the log contacts of this process and of its peers are. */
  public Freshness freshness() {
    return controlState.freshness();
  }

  /** Returns the membership view of this process. */
  public Membership membership() {
    return controlState.membership();
  }

  /** Returns the offset from which to read the log next. */
  public long nextOffset() {
    return controlState.logReader().nextOffset();
  }

  /**
   * Returns whether requests with an API key may be served. A process that starts without log
   * contact may serve them with the records of a peer before it has joined.
   *
   * @param now current time
   * @return true while the state is fresh and the process has not ended
   */
  public boolean mayServe(DualTimestamp now) {
    return !state().hasEnded(config.self()) && controlState.freshness().isFresh(now);
  }

  /**
   * Returns whether the process must neither run tickets nor use pieces.
   *
   * @param now current time
   * @return true if the last contact is too old, or the process has not joined or has ended
   */
  public boolean isFenced(DualTimestamp now) {
    return !state().isLive(config.self()) || controlState.freshness().isFenced(now);
  }

  /**
   * Returns the agent of the fleet lease.
   *
   * @return the agent; orders may be sent only while {@link LeaseAgent#mayAct} returns true
   */
  public LeaseAgent fleetLease() {
    return controlState.fleetLease();
  }

  /**
   * Returns the agent of the usage lease.
   *
   * @return the agent; reports may be sent only while {@link LeaseAgent#mayAct} returns true
   */
  public LeaseAgent usageLease() {
    return controlState.usageLease();
  }

  /**
   * Returns the pieces of capacity that the process may use.
   *
   * @param now current time
   * @return the ranges assigned to the process; empty while it is fenced
   */
  public List<PieceRange> pieces(DualTimestamp now) {
    if (isFenced(now)) {
      return List.of();
    }
    Optional<PieceTable> table =
        Optional.ofNullable(state().pieces().get(config.joined().getRegion()));
    return table.map(PieceTable::getRanges).orElse(List.of()).stream()
        .filter(range -> range.getHolder().equals(config.self()))
        .toList();
  }

  /**
   * Returns whether the end of this incarnation was read from the log.
   *
   * @return true once the process must stop serving
   */
  public boolean hasEnded() {
    return controlState.taskState().endRead();
  }

  /**
   * Returns the age of the last log contact of this process.
   *
   * @param now current time
   * @return milliseconds, or empty before the first contact
   */
  public OptionalLong logContactAgeMs(DualTimestamp now) {
    return controlState.freshness().ownContactAgeMs(now);
  }
}
