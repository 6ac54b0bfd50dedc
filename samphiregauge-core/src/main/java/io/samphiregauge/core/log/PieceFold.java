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

/**
 * Applies records that assign or release capacity pieces. A piece of a live process is never
 * reassigned before the process releases it.
 */
final class PieceFold {
  private PieceFold() {}

  static Result<FoldedState> assign(FoldedState state, Incarnation writer, PieceTable table) {
    String role = "fleet/" + table.getRegion();
    if (!LeaseFold.holds(state, role, table.getToken(), writer)) {
      return Result.failed(new RecordFailure.StaleToken(role, table.getToken()));
    }
    Optional<String> violation = findOverlap(table).or(() -> findRevokedPieces(state, table));
    return violation
        .<Result<FoldedState>>map(text -> Result.failed(new RecordFailure.NotAllowed(text)))
        .orElseGet(() -> Result.success(state.withPieceTable(table)));
  }

  static Result<FoldedState> release(FoldedState state, Incarnation writer, PieceRelease release) {
    String region = OrderFold.regionOf(state, writer);
    Optional<PieceTable> current = Optional.ofNullable(state.pieces().get(region));
    if (current.isEmpty()) {
      return Result.failed(
          new RecordFailure.NotAllowed("The region \"%s\" has no piece table.".formatted(region)));
    }
    PieceTable table = current.get();
    List<PieceRange> remaining = new ArrayList<>();
    for (PieceRange range : table.getRanges()) {
      if (range.getHolder().equals(writer)) {
        remaining.addAll(subtract(range, release));
      } else {
        remaining.add(range);
      }
    }
    return Result.success(
        state.withPieceTable(
            new PieceTable(region, table.getToken(), table.getPieceTokensPerSecond(), remaining)));
  }

  private static List<PieceRange> subtract(PieceRange range, PieceRelease release) {
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

  private static Optional<String> findOverlap(PieceTable table) {
    TreeMap<Integer, PieceRange> byFirst = new TreeMap<>();
    for (PieceRange range : table.getRanges()) {
      if (byFirst.put(range.getFirst(), range) != null) {
        return Optional.of("Two ranges start at piece %d.".formatted(range.getFirst()));
      }
    }
    int end = Integer.MIN_VALUE;
    for (PieceRange range : byFirst.values()) {
      if (range.getFirst() < end) {
        return Optional.of("Piece %d is in two ranges.".formatted(range.getFirst()));
      }
      end = range.getFirst() + range.getCount();
    }
    return Optional.empty();
  }

  /** Finds a range of which the next table would take pieces from a live holder. */
  private static Optional<String> findRevokedPieces(FoldedState state, PieceTable next) {
    Optional<PieceTable> current = Optional.ofNullable(state.pieces().get(next.getRegion()));
    for (PieceRange range : current.map(PieceTable::getRanges).orElse(List.of())) {
      if (!state.hasEnded(range.getHolder()) && !retains(next, range)) {
        return Optional.of(
            "The piece range that starts at %d belongs to a live process on the VM \"%s\"."
                .formatted(range.getFirst(), range.getHolder().getVm()));
      }
    }
    return Optional.empty();
  }

  /** Returns whether the next table assigns every piece of a range to its current holder. */
  private static boolean retains(PieceTable next, PieceRange range) {
    for (int piece = range.getFirst(); piece < range.getFirst() + range.getCount(); piece++) {
      int index = piece;
      boolean retained =
          next.getRanges().stream()
              .anyMatch(r -> contains(r, index) && r.getHolder().equals(range.getHolder()));
      if (!retained) {
        return false;
      }
    }
    return true;
  }

  private static boolean contains(PieceRange range, int piece) {
    return piece >= range.getFirst() && piece < range.getFirst() + range.getCount();
  }
}
