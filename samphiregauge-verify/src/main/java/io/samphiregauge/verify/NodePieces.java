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

/** Divides and uses pieces of capacity, and records the end of dead processes. */
final class NodePieces {
  private static final int PIECES = 20;
  private static final double PLAN = 0.3;
  private static final long PERIOD_MS = 400;

  private final Node node;
  private final Deployment deployment;
  private final Set<Integer> released = new TreeSet<>();
  private EndedProcessDetector watch = EndedProcessDetector.initial();
  private boolean writing;
  private long nextMs;
  private double demandShift;

  NodePieces(Node node, Deployment deployment) {
    this.node = node;
    this.deployment = deployment;
  }

  void tick() {
    if (node.nowMs() < nextMs) {
      return;
    }
    nextMs = node.nowMs() + PERIOD_MS;
    deployment.observePieces(node);
    OptionalLong token = node.token(Deployment.FLEET);
    Step<EndedProcessDetector, Ended> step =
        watch.detect(node.state(), Deployment.REGION, node.members.view(), token, node.nowMs());
    watch = step.state();
    step.actions().forEach(node::write);
    if (!writing && deployment.world.random.chance(PLAN)) {
      demandShift = deployment.world.random.nextDouble();
      token.ifPresentOrElse(this::divide, this::giveUpSurplus);
    }
  }

  void read(LogRecord entry) {
    if (entry.getBody() instanceof PieceTable || entry.getBody() instanceof PieceRelease) {
      writing = false;
      released.clear();
    }
  }

  /** Returns the pieces that this process uses now, by its own view. */
  Set<Integer> used() {
    Set<Integer> pieces = new TreeSet<>();
    boolean uses = !node.freshness().isFenced(node.nowMs()) && !node.state().hasEnded(node.self);
    for (PieceRange range : uses ? ranges() : List.<PieceRange>of()) {
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
    return Optional.ofNullable(node.state().pieces().get(Deployment.REGION));
  }

  private List<PieceRange> ranges() {
    return table().map(PieceTable::getRanges).orElse(List.of());
  }

  private void divide(long token) {
    plan()
        .allocate(
            Deployment.REGION,
            token,
            table(),
            process -> deployment.seams.gone.isGone(watch, process, node.nowMs()))
        .ifPresent(this::write);
  }

  /** A process stops using its pieces before it releases them. */
  private void giveUpSurplus() {
    Optional<PieceRelease> surplus = table().flatMap(t -> plan().surplus(t, node.self));
    surplus.ifPresent(
        release -> {
          for (int i = 0; i < release.getCount(); i++) {
            released.add(release.getFirst() + i);
          }
          write(release);
        });
  }

  private void write(RecordBody body) {
    writing = true;
    node.write(body);
  }

  private PieceAllocator plan() {
    List<Incarnation> entries = new ArrayList<>();
    for (ProcessState process : node.state().processes().values()) {
      if (!process.isEnded()) {
        entries.add(process.getIncarnation());
      }
    }
    return new PieceAllocator(
        PIECES, entries, entry -> 1 + demandShift * (entry.getVm().hashCode() % 5));
  }
}
