package io.samphiregauge.core.log;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.PieceRange;
import io.samphiregauge.schema.record.PieceRelease;
import io.samphiregauge.schema.record.PieceTable;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** Folds the division of capacity between entries; a live holder's pieces are never given away. */
final class PieceFold {
  private PieceFold() {}

  static Result<FoldedState> assign(FoldedState state, Incarnation writer, PieceTable table) {
    String role = "fleet/" + table.getRegion();
    if (!LeaseFold.holds(state, role, table.getToken(), writer)) {
      return Result.failed(new RecordFailure.StaleToken(role, table.getToken()));
    }
    Optional<String> problem = overlap(table).or(() -> taken(state, table));
    return problem
        .<Result<FoldedState>>map(text -> Result.failed(new RecordFailure.NotAllowed(text)))
        .orElseGet(() -> Result.success(state.withPieces(table)));
  }

  static Result<FoldedState> release(FoldedState state, Incarnation writer, PieceRelease release) {
    String region = OrderFold.region(state, writer);
    Optional<PieceTable> current = Optional.ofNullable(state.pieces().get(region));
    if (current.isEmpty()) {
      return Result.failed(new RecordFailure.NotAllowed("The region has no piece table."));
    }
    PieceTable table = current.get();
    List<PieceRange> kept = new ArrayList<>();
    for (PieceRange range : table.getRanges()) {
      if (range.getHolder().equals(writer)) {
        kept.addAll(cut(range, release));
      } else {
        kept.add(range);
      }
    }
    return Result.success(
        state.withPieces(
            new PieceTable(region, table.getToken(), table.getPieceTokensPerSecond(), kept)));
  }

  private static List<PieceRange> cut(PieceRange range, PieceRelease release) {
    int end = range.getFirst() + range.getCount();
    int gapStart = Math.max(range.getFirst(), release.getFirst());
    int gapEnd = Math.min(end, release.getFirst() + release.getCount());
    if (gapStart >= gapEnd) {
      return List.of(range);
    }
    List<PieceRange> parts = new ArrayList<>();
    if (range.getFirst() < gapStart) {
      parts.add(new PieceRange(range.getFirst(), gapStart - range.getFirst(), range.getHolder()));
    }
    if (gapEnd < end) {
      parts.add(new PieceRange(gapEnd, end - gapEnd, range.getHolder()));
    }
    return parts;
  }

  private static Optional<String> overlap(PieceTable table) {
    TreeMap<Integer, PieceRange> byFirst = new TreeMap<>();
    for (PieceRange range : table.getRanges()) {
      if (byFirst.put(range.getFirst(), range) != null) {
        return Optional.of("Two ranges start at piece %d.".formatted(range.getFirst()));
      }
    }
    int end = Integer.MIN_VALUE;
    for (PieceRange range : byFirst.values()) {
      if (range.getFirst() < end) {
        return Optional.of("The piece %d is in two ranges.".formatted(range.getFirst()));
      }
      end = range.getFirst() + range.getCount();
    }
    return Optional.empty();
  }

  /** Finds a piece that the table would take from a holder that is still live. */
  private static Optional<String> taken(FoldedState state, PieceTable next) {
    Optional<PieceTable> current = Optional.ofNullable(state.pieces().get(next.getRegion()));
    for (PieceRange held : current.map(PieceTable::getRanges).orElse(List.of())) {
      if (!state.hasEnded(held.getHolder()) && !covers(next, held)) {
        return Optional.of(
            "The pieces from %d belong to a live process on the VM \"%s\"."
                .formatted(held.getFirst(), held.getHolder().getVm()));
      }
    }
    return Optional.empty();
  }

  /** Tells whether the holder of a range keeps each piece of it in the next table. */
  private static boolean covers(PieceTable next, PieceRange held) {
    for (int piece = held.getFirst(); piece < held.getFirst() + held.getCount(); piece++) {
      int wanted = piece;
      boolean kept =
          next.getRanges().stream()
              .anyMatch(r -> contains(r, wanted) && r.getHolder().equals(held.getHolder()));
      if (!kept) {
        return false;
      }
    }
    return true;
  }

  private static boolean contains(PieceRange range, int piece) {
    return piece >= range.getFirst() && piece < range.getFirst() + range.getCount();
  }
}
