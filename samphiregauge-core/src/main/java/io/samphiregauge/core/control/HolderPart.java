package io.samphiregauge.core.control;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.lease.LeaseEvent;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.member.EndedWatch;
import io.samphiregauge.core.order.OrderEvent;
import io.samphiregauge.core.order.Wish;
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

/** Claims leases, does what their holders do, and gives everything back before the end. */
final class HolderPart {
  /** Entries that claim a lease; one is enough, the others cover its loss. */
  private static final int CLAIMANTS = 5;

  /** Time that a claimant leaves to the one before it; more than an append and a read take. */
  private static final long CLAIM_STAGGER_MS = 200;

  private static final long PIECES_PERIOD_MS = 1_000;

  private HolderPart() {}

  static void act(Work work) {
    claim(work);
    long nowMs = work.now.ms();
    OptionalLong token = work.fleet.token(nowMs);
    watchEnds(work, token);
    if (token.isPresent()) {
      work.checkpoints
          .due(work.state())
          .ifPresent(
              checkpoint -> {
                work.checkpoints = work.checkpoints.written();
                work.write(checkpoint);
              });
    }
    List<Wish> wishes =
        token.isPresent() ? work.entrant.changes().wanted(work.state(), nowMs) : List.of();
    work.toOrderer(new OrderEvent.Tick(work.state(), token, wishes));
    OptionalLong usageToken = work.usage.token(nowMs);
    work.toReporter(new UsageEvent.Tick(work.state(), usageToken, work.now.wallMs()));
    movePieces(work, token);
    if (work.progress.leaving()) {
      leave(work);
    }
  }

  private static void claim(Work work) {
    boolean able =
        work.state().isLive(work.self())
            && PeerPart.hasLogContact(work)
            && !work.progress.leaving();
    LeaseEvent fleet = candidacy(work, work.fleet.role(), able);
    LeaseEvent usage = candidacy(work, work.usage.role(), able);
    work.toLeases(fleet, usage);
  }

  /** Ranks the live entries of the region differently for each role. */
  private static LeaseEvent candidacy(Work work, String role, boolean able) {
    int own = rankKey(role, work.self());
    long before =
        work.members.live().stream()
            .filter(known -> known.member().getRegion().equals(work.region()))
            .map(known -> known.member().getIncarnation())
            .filter(work.state()::isLive)
            .filter(other -> rankKey(role, other) < own)
            .count();
    boolean holds =
        work.state()
            .lease(role)
            .filter(lease -> !lease.isReleased() && lease.getHolder().equals(work.self()))
            .isPresent();
    boolean wanted = able && (before < CLAIMANTS || holds);
    return new LeaseEvent.Candidacy(wanted, before * CLAIM_STAGGER_MS);
  }

  private static int rankKey(String role, Incarnation process) {
    return (role + "/" + process.getVm()).hashCode() * 0x9E3779B1;
  }

  private static void watchEnds(Work work, OptionalLong token) {
    Step<EndedWatch, Ended> step =
        work.ended.look(work.state(), work.region(), work.members, token, work.now.ms());
    work.ended = step.state();
    for (Ended end : step.actions()) {
      work.decide(end.getIncarnation().getVm(), "ended", "confirmed_dead");
      work.write(end);
    }
  }

  private static void movePieces(Work work, OptionalLong token) {
    if (work.now.ms() < work.progress.piecesMs()) {
      return;
    }
    FoldedState state = work.state();
    Optional<PieceTable> table = Optional.ofNullable(state.pieces().get(work.region()));
    PieceAllocator plan = plan(work);
    boolean releasing = work.progress.releasing();
    boolean tableWritten = work.progress.tableWritten();
    Optional<PieceRelease> surplus =
        releasing ? Optional.empty() : table.flatMap(t -> plan.surplus(t, work.self()));
    if (surplus.isPresent()) {
      releasing = true;
      work.write(surplus.get());
    }
    if (token.isPresent() && !tableWritten) {
      Optional<PieceTable> next =
          plan.allocate(
              work.region(),
              token.getAsLong(),
              table,
              holder -> work.ended.isGone(holder, work.now.ms()));
      tableWritten = next.isPresent();
      next.ifPresent(
          t -> {
            work.decide("pieces/" + work.region(), "assigned", "ranges=" + t.getRanges().size());
            work.write(t);
          });
    }
    schedule(work, releasing, tableWritten);
  }

  private static void schedule(Work work, boolean releasing, boolean tableWritten) {
    ControlState.Progress p = work.progress;
    work.progress =
        new ControlState.Progress(
            p.leaving(),
            p.endWritten(),
            p.endSeen(),
            releasing,
            tableWritten,
            p.copyMs(),
            work.now.ms() + PIECES_PERIOD_MS);
  }

  private static PieceAllocator plan(Work work) {
    long capacity =
        work.state().config().backends().stream()
            .mapToLong(Backend::getCapacityTokensPerSecond)
            .sum();
    List<Incarnation> entries =
        work.state().processes().values().stream()
            .filter(p -> !p.isEnded() && p.getJoined().getRegion().equals(work.region()))
            .map(ProcessState::getIncarnation)
            .filter(entry -> !work.members.isConfirmedDead(entry))
            .sorted(Comparator.comparing(Incarnation::getVm))
            .toList();
    int total = (int) (capacity / PieceAllocator.PIECE_TOKENS_PER_SECOND);
    return new PieceAllocator(total, entries, work.entrant.demand());
  }

  /** Writes the end once both leases and all pieces were given back. */
  private static void leave(Work work) {
    if (work.progress.endWritten() || !work.state().isLive(work.self())) {
      return;
    }
    boolean holds = holds(work, work.fleet.role()) || holds(work, work.usage.role());
    List<PieceRange> own = ownRanges(work);
    ControlState.Progress p = work.progress;
    boolean release = !own.isEmpty() && !p.releasing();
    if (release) {
      work.write(new PieceRelease(own.get(0).getFirst(), own.get(0).getCount()));
    }
    boolean done = !holds && own.isEmpty();
    if (done) {
      work.write(new Ended(work.self()));
    }
    work.progress =
        new ControlState.Progress(
            true,
            done,
            p.endSeen(),
            p.releasing() || release,
            p.tableWritten(),
            p.copyMs(),
            p.piecesMs());
  }

  private static boolean holds(Work work, String role) {
    return work.state()
        .lease(role)
        .filter(lease -> lease.getHolder().equals(work.self()) && !lease.isReleased())
        .isPresent();
  }

  private static List<PieceRange> ownRanges(Work work) {
    return Optional.ofNullable(work.state().pieces().get(work.region()))
        .map(PieceTable::getRanges)
        .orElse(List.of())
        .stream()
        .filter(range -> range.getHolder().equals(work.self()))
        .toList();
  }
}
