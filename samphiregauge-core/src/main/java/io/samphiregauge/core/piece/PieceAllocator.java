package io.samphiregauge.core.piece;

import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.PieceRange;
import io.samphiregauge.schema.record.PieceRelease;
import io.samphiregauge.schema.record.PieceTable;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * Allocates the pieces of a region to its entries in proportion to demand. A piece changes its
 * holder only after its release or the termination of the holder, so only free pieces are assigned.
 *
 * @param total number of pieces in the region
 * @param entries live entries
 * @param demand demand at each entry
 */
public record PieceAllocator(int total, List<Incarnation> entries, PieceDemand demand) {
  /** Capacity of a piece, in generated tokens per second. */
  public static final int PIECE_TOKENS_PER_SECOND = 1_000;

  /**
   * An entry may exceed its share by 1/10 of it, and by at least one piece, before it releases any.
   */
  private static final int RELEASE_SLACK_DIVISOR = 10;

  /** Validates the total and makes a defensive copy of the list. */
  public PieceAllocator {
    if (total < 0) {
      throw new IllegalArgumentException("total must be at least 0, got " + total);
    }
    entries = List.copyOf(entries);
  }

  /**
   * Assigns free pieces to the entries with the largest deficits.
   *
   * @param region region of the pieces
   * @param token fencing token of the fleet lease
   * @param current current table, if there is one
   * @param mayReassign whether a holder can no longer use its pieces, so that they are free
   * @return the next table, or empty if there are no free pieces or no entries
   */
  public Optional<PieceTable> allocate(
      String region, long token, Optional<PieceTable> current, Predicate<Incarnation> mayReassign) {
    List<Optional<Incarnation>> holders = holders(current, mayReassign);
    if (entries.isEmpty() || holders.stream().limit(total).allMatch(Optional::isPresent)) {
      return Optional.empty();
    }
    Map<Incarnation, Double> deficits = deficits(holders);
    PriorityQueue<Incarnation> byDeficit =
        new PriorityQueue<>(
            Comparator.comparingDouble((Incarnation e) -> -deficits.get(e))
                .thenComparing(Incarnation::getVm));
    byDeficit.addAll(entries);
    for (int piece = 0; piece < total; piece++) {
      if (holders.get(piece).isEmpty()) {
        Incarnation recipient = byDeficit.remove();
        holders.set(piece, Optional.of(recipient));
        deficits.merge(recipient, -1.0, Double::sum);
        byDeficit.add(recipient);
      }
    }
    return Optional.of(new PieceTable(region, token, PIECE_TOKENS_PER_SECOND, ranges(holders)));
  }

  /**
   * Finds pieces that an entry should release.
   *
   * @param current current table
   * @param self the entry
   * @return the pieces to release, or empty if there is no surplus
   */
  public Optional<PieceRelease> surplus(PieceTable current, Incarnation self) {
    int held = 0;
    Optional<PieceRange> last = Optional.empty();
    for (PieceRange range : current.getRanges()) {
      if (range.getHolder().equals(self)) {
        held += range.getCount();
        last = Optional.of(range);
      }
    }
    double share = share(self);
    int excess = held - (int) Math.ceil(share + Math.max(1, share / RELEASE_SLACK_DIVISOR));
    return last.flatMap(range -> release(range, excess));
  }

  /** Releases the end of a range: the pieces above the total or above the share. */
  private Optional<PieceRelease> release(PieceRange range, int excess) {
    int end = range.getFirst() + range.getCount();
    int count = Math.min(range.getCount(), Math.max(excess, end - total));
    return count > 0 ? Optional.of(new PieceRelease(end - count, count)) : Optional.empty();
  }

  private List<Optional<Incarnation>> holders(
      Optional<PieceTable> current, Predicate<Incarnation> mayReassign) {
    List<Optional<Incarnation>> holders = new ArrayList<>();
    for (int i = 0; i < total; i++) {
      holders.add(Optional.empty());
    }
    for (PieceRange range : current.map(PieceTable::getRanges).orElse(List.of())) {
      if (mayReassign.test(range.getHolder())) {
        continue;
      }
      int end = range.getFirst() + range.getCount();
      while (holders.size() < end) {
        holders.add(Optional.empty());
      }
      for (int piece = range.getFirst(); piece < end; piece++) {
        holders.set(piece, Optional.of(range.getHolder()));
      }
    }
    return holders;
  }

  private Map<Incarnation, Double> deficits(List<Optional<Incarnation>> holders) {
    Map<Incarnation, Double> deficits = new LinkedHashMap<>();
    entries.forEach(entry -> deficits.put(entry, share(entry)));
    holders.forEach(
        holder ->
            holder.ifPresent(h -> deficits.computeIfPresent(h, (entry, deficit) -> deficit - 1)));
    return deficits;
  }

  private double share(Incarnation entry) {
    double totalDemand = entries.stream().mapToDouble(demand::of).sum();
    return totalDemand > 0
        ? total * demand.of(entry) / totalDemand
        : (double) total / entries.size();
  }

  private static List<PieceRange> ranges(List<Optional<Incarnation>> holders) {
    List<PieceRange> ranges = new ArrayList<>();
    int first = 0;
    for (int piece = 1; piece <= holders.size(); piece++) {
      if (piece < holders.size() && holders.get(piece).equals(holders.get(first))) {
        continue;
      }
      int start = first;
      int count = piece - first;
      holders.get(first).ifPresent(h -> ranges.add(new PieceRange(start, count, h)));
      first = piece;
    }
    return ranges;
  }
}
