package io.samphiregauge.core.control;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.lease.LeaseEvent;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.member.EndedProcessDetector;
import io.samphiregauge.core.order.DesiredChange;
import io.samphiregauge.core.order.OrderEvent;
import io.samphiregauge.core.piece.PieceAllocator;
import io.samphiregauge.core.usage.UsageEvent;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.PieceRange;
import io.samphiregauge.schema.record.PieceRelease;
import io.samphiregauge.schema.record.PieceTable;
import io.samphiregauge.schema.record.ProcessState;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Updates the lease candidacy and runs the periodic tasks, some of them only on the lease holder.
 * On shutdown, releases the pieces and submits the {@code Ended} record.
 */
final class PeriodicTasks {
  /** Number of top-ranked entries that may claim a lease; all but the first are backups. */
  private static final int MAX_CLAIMANTS = 5;

  /** Claim delay per rank; exceeds the time of an append and a read. */
  private static final long CLAIM_STAGGER_MS = 200;

  private static final long PIECE_CHECK_PERIOD_MS = 1_000;

  private PeriodicTasks() {}

  static void performDueTasks(StepContext context) {
    updateCandidacy(context);
    long nowMs = context.now.monotonicMs();
    OptionalLong token = context.fleetLease.token(context.now);
    recordEndedProcesses(context, token);
    if (token.isPresent()) {
      context
          .checkpointSchedule
          .due(context.state())
          .ifPresent(
              checkpoint -> {
                context.checkpointSchedule = context.checkpointSchedule.onSubmitted();
                context.writeRecord(checkpoint);
              });
    }
    List<DesiredChange> desiredChanges =
        token.isPresent()
            ? context.config.desiredChanges().compute(context.state(), nowMs)
            : List.of();
    context.updateOrderer(new OrderEvent.Tick(context.state(), token, desiredChanges));
    OptionalLong usageToken = context.usageLease.token(context.now);
    context.updateUsageReporter(
        new UsageEvent.Tick(context.state(), usageToken, context.now.wallMs()));
    rebalancePieces(context, token);
    if (context.taskState.shuttingDown()) {
      releaseAndEnd(context);
    }
  }

  private static void updateCandidacy(StepContext context) {
    boolean eligible =
        context.state().isLive(context.self())
            && PeerExchange.hasRecentLogContact(context)
            && !context.taskState.shuttingDown();
    LeaseEvent fleetCandidacy = candidacy(context, context.fleetLease.role(), eligible);
    LeaseEvent usageCandidacy = candidacy(context, context.usageLease.role(), eligible);
    context.updateLeases(fleetCandidacy, usageCandidacy);
  }

  /**
   * Computes the candidacy of this process from its rank among the live entries of the region. The
   * rank depends on the role, so that the leases spread over the entries.
   */
  private static LeaseEvent candidacy(StepContext context, String role, boolean eligible) {
    int ownRank = rankKey(role, context.self());
    long higherRanked =
        context.membership.live().stream()
            .filter(known -> known.member().getRegion().equals(context.region()))
            .map(known -> known.member().getIncarnation())
            .filter(context.state()::isLive)
            .filter(other -> rankKey(role, other) < ownRank)
            .count();
    boolean isHolder =
        context
            .state()
            .lease(role)
            .filter(lease -> !lease.isReleased() && lease.getHolder().equals(context.self()))
            .isPresent();
    boolean mayClaim = eligible && (higherRanked < MAX_CLAIMANTS || isHolder);
    return new LeaseEvent.Candidacy(mayClaim, higherRanked * CLAIM_STAGGER_MS);
  }

  private static int rankKey(String role, Incarnation process) {
    return (role + "/" + process.getVm()).hashCode() * 0x9E3779B1;
  }

  private static void recordEndedProcesses(StepContext context, OptionalLong token) {
    Step<EndedProcessDetector, Ended> step =
        context.endedProcessDetector.detect(
            context.state(),
            context.region(),
            context.membership,
            token,
            context.now.monotonicMs());
    context.endedProcessDetector = step.state();
    for (Ended ended : step.actions()) {
      context.addDecision(ended.getIncarnation().getVm(), "ended", "confirmed_dead");
      context.writeRecord(ended);
    }
  }

  private static void rebalancePieces(StepContext context, OptionalLong token) {
    if (context.now.monotonicMs() < context.taskState.nextPieceCheckMs()) {
      return;
    }
    FoldedState state = context.state();
    Optional<PieceTable> table = Optional.ofNullable(state.pieces().get(context.region()));
    PieceAllocator allocator = pieceAllocator(context);
    boolean releasePending = context.taskState.releasePending();
    boolean tablePending = context.taskState.tablePending();
    Optional<PieceRelease> surplus =
        releasePending
            ? Optional.empty()
            : table.flatMap(current -> allocator.surplus(current, context.self()));
    if (surplus.isPresent()) {
      releasePending = true;
      context.writeRecord(surplus.get());
    }
    if (token.isPresent() && !tablePending) {
      Optional<PieceTable> nextTable =
          allocator.allocate(
              context.region(),
              token.getAsLong(),
              table,
              holder ->
                  context.endedProcessDetector.mayReassignPieces(
                      holder, context.now.monotonicMs()));
      tablePending = nextTable.isPresent();
      nextTable.ifPresent(
          newTable -> {
            context.addDecision(
                "pieces/" + context.region(), "assigned", "ranges=" + newTable.getRanges().size());
            context.writeRecord(newTable);
          });
    }
    scheduleNextPieceCheck(context, releasePending, tablePending);
  }

  private static void scheduleNextPieceCheck(
      StepContext context, boolean releasePending, boolean tablePending) {
    ControlState.TaskState previous = context.taskState;
    context.taskState =
        new ControlState.TaskState(
            previous.shuttingDown(),
            previous.endSubmitted(),
            previous.endRead(),
            releasePending,
            tablePending,
            previous.nextUsageCopyMs(),
            context.now.monotonicMs() + PIECE_CHECK_PERIOD_MS);
  }

  private static PieceAllocator pieceAllocator(StepContext context) {
    long capacity =
        context.state().config().backends().stream()
            .mapToLong(Backend::getCapacityTokensPerSecond)
            .sum();
    List<Incarnation> entries =
        context.state().processes().values().stream()
            .filter(
                process ->
                    !process.isEnded() && process.getJoined().getRegion().equals(context.region()))
            .map(ProcessState::getIncarnation)
            .filter(entry -> !context.membership.isPresumedDead(entry))
            .sorted(Comparator.comparing(Incarnation::getVm))
            .toList();
    int total = (int) (capacity / PieceAllocator.PIECE_TOKENS_PER_SECOND);
    return new PieceAllocator(total, entries, context.config.pieceDemand());
  }

  /** Releases the pieces, and submits the {@code Ended} record once no lease or piece is held. */
  private static void releaseAndEnd(StepContext context) {
    if (context.taskState.endSubmitted() || !context.state().isLive(context.self())) {
      return;
    }
    boolean holdsAnyLease =
        holdsLease(context, context.fleetLease.role())
            || holdsLease(context, context.usageLease.role());
    List<PieceRange> ownRanges = ownRanges(context);
    ControlState.TaskState previous = context.taskState;
    boolean mustRelease = !ownRanges.isEmpty() && !previous.releasePending();
    if (mustRelease) {
      context.writeRecord(
          new PieceRelease(ownRanges.get(0).getFirst(), ownRanges.get(0).getCount()));
    }
    boolean allReleased = !holdsAnyLease && ownRanges.isEmpty();
    if (allReleased) {
      context.writeRecord(new Ended(context.self()));
    }
    context.taskState =
        new ControlState.TaskState(
            true,
            allReleased,
            previous.endRead(),
            previous.releasePending() || mustRelease,
            previous.tablePending(),
            previous.nextUsageCopyMs(),
            previous.nextPieceCheckMs());
  }

  private static boolean holdsLease(StepContext context, String role) {
    return context
        .state()
        .lease(role)
        .filter(lease -> lease.getHolder().equals(context.self()) && !lease.isReleased())
        .isPresent();
  }

  private static List<PieceRange> ownRanges(StepContext context) {
    return Optional.ofNullable(context.state().pieces().get(context.region()))
        .map(PieceTable::getRanges)
        .orElse(List.of())
        .stream()
        .filter(range -> range.getHolder().equals(context.self()))
        .toList();
  }
}
