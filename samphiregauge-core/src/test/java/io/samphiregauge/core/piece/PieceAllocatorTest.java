package io.samphiregauge.core.piece;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.PieceRange;
import io.samphiregauge.schema.record.PieceRelease;
import io.samphiregauge.schema.record.PieceTable;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against pieces with two holders and against free pieces that are not assigned. */
class PieceAllocatorTest {
  private static final Incarnation A = new Incarnation("a", 1L, 1L);
  private static final Incarnation B = new Incarnation("b", 1L, 1L);
  private static final Incarnation C = new Incarnation("c", 1L, 1L);

  private static PieceTable table(PieceRange... ranges) {
    return new PieceTable("luzon", 1L, 1_000, List.of(ranges));
  }

  @Test
  void dividesFreePiecesByDemand() {
    PieceAllocator allocator =
        new PieceAllocator(8, List.of(A, B), entry -> entry.equals(A) ? 3 : 1);
    PieceTable next =
        allocator.allocate("luzon", 1, Optional.empty(), entry -> false).orElseThrow();
    assertThat(count(next, A)).isEqualTo(6);
    assertThat(count(next, B)).isEqualTo(2);
  }

  @Test
  void reassignsOnlyPiecesOfTerminatedHolders() {
    PieceTable current = table(new PieceRange(0, 4, A), new PieceRange(4, 4, B));
    PieceAllocator allocator = new PieceAllocator(8, List.of(A, C), PieceDemand.equal());
    assertThat(allocator.allocate("luzon", 1, Optional.of(current), entry -> false)).isEmpty();
    PieceTable next = allocator.allocate("luzon", 1, Optional.of(current), B::equals).orElseThrow();
    assertThat(next.getRanges()).containsExactly(new PieceRange(0, 4, A), new PieceRange(4, 4, C));
  }

  @Test
  void releasesPiecesAboveTheShareOrTheTotal() {
    PieceTable current = table(new PieceRange(0, 8, A));
    PieceAllocator allocator = new PieceAllocator(8, List.of(A, B), PieceDemand.equal());
    assertThat(allocator.surplus(current, A)).contains(new PieceRelease(5, 3));
    assertThat(allocator.surplus(table(new PieceRange(0, 5, A)), A)).isEmpty();
    PieceAllocator smaller = new PieceAllocator(2, List.of(A), PieceDemand.equal());
    assertThat(smaller.surplus(table(new PieceRange(0, 3, A)), A)).contains(new PieceRelease(2, 1));
  }

  @Property(seed = "17", tries = 200)
  void eachPieceHasExactlyOneHolder(
      @ForAll @IntRange(min = 1, max = 40) int total, @ForAll @IntRange(max = 9) int demand) {
    PieceAllocator allocator =
        new PieceAllocator(total, List.of(A, B, C), e -> e.equals(A) ? demand : 1);
    Optional<PieceTable> table =
        allocator.allocate("luzon", 1, Optional.of(table(new PieceRange(1, 2, B))), entry -> false);
    int[] holders = new int[Math.max(total, 3)];
    for (PieceRange range : table.map(PieceTable::getRanges).orElse(List.of())) {
      for (int i = 0; i < range.getCount(); i++) {
        holders[range.getFirst() + i]++;
      }
    }
    assertThat(holders).containsOnly(1);
  }

  private static int count(PieceTable table, Incarnation holder) {
    return table.getRanges().stream()
        .filter(range -> range.getHolder().equals(holder))
        .mapToInt(PieceRange::getCount)
        .sum();
  }
}
