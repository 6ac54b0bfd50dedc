package io.samphiregauge.verify;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.member.EndedProcessDetector;
import io.samphiregauge.core.piece.PieceAllocator;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.PieceRange;
import io.samphiregauge.schema.record.PieceRelease;
import io.samphiregauge.schema.record.PieceTable;
import io.samphiregauge.schema.record.ProcessState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

/** Allocates and uses pieces of capacity in one process, and records the end of dead processes. */
final class PieceDriver {
  private static final int PIECE_COUNT = 20;

  /** Probability that a tick allocates pieces (lease holder) or releases surplus ones (others). */
  private static final double PLAN_PROBABILITY = 0.3;

  private static final long PERIOD_MS = 400;

  private final SimulatedNode node;
  private final SimulatedDeployment deployment;
  private final Set<Integer> released = new TreeSet<>();
  private EndedProcessDetector endedProcessDetector = EndedProcessDetector.initial();
  private boolean writePending;
  private long nextTickMs;
  private double demandVariation;

  PieceDriver(SimulatedNode node, SimulatedDeployment deployment) {
    this.node = node;
    this.deployment = deployment;
  }

  void tick() {
    if (node.nowMs() < nextTickMs) {
      return;
    }
    nextTickMs = node.nowMs() + PERIOD_MS;
    deployment.observeSharedPieces(node);
    OptionalLong token = node.token(SimulatedDeployment.FLEET);
    Step<EndedProcessDetector, Ended> step =
        endedProcessDetector.detect(
            node.state(), SimulatedDeployment.REGION, node.membership.view(), token, node.nowMs());
    endedProcessDetector = step.state();
    step.actions().forEach(node::write);
    if (!writePending && deployment.simulation.random.chance(PLAN_PROBABILITY)) {
      demandVariation = deployment.simulation.random.nextDouble();
      token.ifPresentOrElse(this::allocate, this::releaseSurplus);
    }
  }

  void onOwnRecord(LogRecord record) {
    if (record.getBody() instanceof PieceTable || record.getBody() instanceof PieceRelease) {
      writePending = false;
      released.clear();
    }
  }

  /** Returns the pieces that this process currently uses, according to its own state. */
  Set<Integer> usedPieces() {
    Set<Integer> pieces = new TreeSet<>();
    boolean mayUse = !node.freshness().isFenced(node.now()) && !node.state().hasEnded(node.self);
    for (PieceRange range : mayUse ? ranges() : List.<PieceRange>of()) {
      if (range.getHolder().equals(node.self)) {
        for (int i = 0; i < range.getCount(); i++) {
          pieces.add(range.getFirst() + i);
        }
      }
    }
    pieces.removeAll(released);
    return pieces;
  }

  private Optional<PieceTable> table() {
    return Optional.ofNullable(node.state().pieces().get(SimulatedDeployment.REGION));
  }

  private List<PieceRange> ranges() {
    return table().map(PieceTable::getRanges).orElse(List.of());
  }

  private void allocate(long token) {
    allocator()
        .allocate(
            SimulatedDeployment.REGION,
            token,
            table(),
            process ->
                deployment.injectionPoints.pieceReassignCheck.mayReassignPieces(
                    endedProcessDetector, process, node.nowMs()))
        .ifPresent(this::write);
  }

  /** Releases pieces above the share of this process, which stops using them before the release. */
  private void releaseSurplus() {
    Optional<PieceRelease> surplus =
        table().flatMap(table -> allocator().surplus(table, node.self));
    surplus.ifPresent(
        release -> {
          for (int i = 0; i < release.getCount(); i++) {
            released.add(release.getFirst() + i);
          }
          write(release);
        });
  }

  private void write(RecordBody body) {
    writePending = true;
    node.write(body);
  }

  private PieceAllocator allocator() {
    List<Incarnation> entries = new ArrayList<>();
    for (ProcessState process : node.state().processes().values()) {
      if (!process.isEnded()) {
        entries.add(process.getIncarnation());
      }
    }
    return new PieceAllocator(
        PIECE_COUNT, entries, entry -> 1 + demandVariation * (entry.getVm().hashCode() % 5));
  }
}
