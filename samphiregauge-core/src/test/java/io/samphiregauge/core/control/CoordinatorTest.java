package io.samphiregauge.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.log.Freshness;
import io.samphiregauge.core.order.Wish;
import io.samphiregauge.schema.order.Drain;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.PieceRange;
import io.samphiregauge.schema.record.UsageFigure;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against the failures that several parts must withstand together. */
class CoordinatorTest {
  private static final List<String> VMS = List.of("vm1a", "vm2b", "vm3c", "vm4d", "vm5a");
  private final ControlWorld world = new ControlWorld(11);

  @BeforeEach
  void start() {
    world.appendNote("ann", -1, 20);
    VMS.forEach(world::start);
    world.run(8_000);
  }

  private String holder() {
    assertThat(world.fleetHolders()).hasSize(1);
    return world.fleetHolders().get(0);
  }

  /** Each piece belongs to one entry at most, in the entries' own eyes. */
  private int pieces() {
    int[] holders = new int[20];
    for (Coordinator coordinator : world.running.values()) {
      for (PieceRange range : coordinator.pieces(world.nowMs)) {
        IntStream.range(range.getFirst(), range.getFirst() + range.getCount())
            .forEach(piece -> holders[piece]++);
      }
    }
    assertThat(IntStream.of(holders).max().orElse(0)).isLessThanOrEqualTo(1);
    return IntStream.of(holders).sum();
  }

  @Test
  void entriesJoinChooseOneHolderAndShareThePieces() {
    holder();
    assertThat(world.serving()).isEqualTo(5);
    assertThat(pieces()).isEqualTo(20);
  }

  @Test
  void aKilledHolderIsSucceededAndItsPiecesMoveOnlyAfterItsEnd() {
    String lost = holder();
    world.running.remove(lost);
    world.run(12_000);
    assertThat(holder()).isNotEqualTo(lost);
    assertThat(pieces()).isEqualTo(16);
    world.run(14_000);
    assertThat(pieces()).isEqualTo(16);
    world.run(18_000);
    assertThat(pieces()).isEqualTo(20);
  }

  @Test
  void aPausedHolderActsNoMoreWhenItWakes() {
    String lost = holder();
    world.paused.add(lost);
    world.run(15_000);
    world.paused.clear();
    assertThat(world.get(lost).fleetLease().mayAct(world.nowMs)).isFalse();
    assertThat(world.get(lost).mayServe(world.nowMs)).isFalse();
    assertThat(world.get(lost).isFenced(world.nowMs)).isTrue();
    world.run(1_000);
    assertThat(world.get(lost).mayServe(world.nowMs)).isTrue();
    assertThat(world.fleetHolders()).doesNotContain(lost);
  }

  /**
   * Guards against keys that outlive their withdrawal while the log is out of reach, and against
   * entries that end one another for that reason.
   */
  @Test
  void aLogOutageStopsKeyedRequestsAndFencesNobody() {
    world.logDown = true;
    world.run(Freshness.MAX_STALENESS_MS + 1_000);
    assertThat(world.serving()).isZero();
    world.run(600_000);
    assertThat(world.serving()).isZero();
    assertThat(VMS).noneMatch(vm -> world.get(vm).isFenced(world.nowMs));
    assertThat(world.fleetHolders()).isEmpty();
    assertThat(pieces()).isEqualTo(20);
    world.logDown = false;
    world.run(15_000);
    assertThat(world.serving()).isEqualTo(5);
    holder();
    assertThat(world.log.stream().filter(r -> r.getBody() instanceof Ended)).isEmpty();
  }

  @Test
  void aMinorityWithoutLogStopsServingAndTheRestGoesOn() {
    for (String vm : List.of("vm1a", "vm2b")) {
      world.withoutLog.add(vm);
      VMS.subList(2, 5).forEach(other -> world.cutLinks.add(Set.of(vm, other)));
    }
    world.run(Freshness.MAX_STALENESS_MS + 1_000);
    assertThat(world.serving()).isEqualTo(3);
    world.run(60_000);
    assertThat(world.serving()).isEqualTo(3);
    assertThat(pieces()).isEqualTo(20);
  }

  @Test
  void anEntryWithoutLogGetsTheRecordsFromPeers() {
    world.withoutLog.add("vm5a");
    world.run(20_000);
    assertThat(world.serving()).isEqualTo(5);
    world.appendNote("bob", world.get("vm1a").state().noteOffset(), 5);
    world.run(3_000);
    assertThat(world.get("vm5a").state().noteOffset())
        .isEqualTo(world.get("vm1a").state().noteOffset());
  }

  @Test
  void anEntryThatLeavesGivesEverythingBackAtOnce() {
    String leaving = holder();
    world.on(leaving, new CoordinatorEvent.Leave());
    world.run(3_000);
    assertThat(world.running).doesNotContainKey(leaving);
    assertThat(holder()).isNotEqualTo(leaving);
    assertThat(pieces()).isEqualTo(20);
  }

  @Test
  void usageOfAllEntriesIsReportedOnce() {
    VMS.forEach(
        vm ->
            world.on(vm, new CoordinatorEvent.Used(new UsageFigure("t1", "m-ann", 1, 10, 20, 30))));
    world.run(70_000);
    assertThat(world.reports).isNotEmpty();
    long tokens =
        world.reports.stream()
            .flatMap(report -> report.report().report().getFigures().stream())
            .mapToLong(UsageFigure::getPromptTokens)
            .sum();
    assertThat(tokens).isEqualTo(50);
  }

  @Test
  void onlyTheHolderSendsAWantedOrderAndOnlyOnce() {
    ControlWorld other = new ControlWorld(12);
    other.appendNote("ann", -1, 20);
    Wish wish = new Wish("engine-ann", new Drain("test"), "test");
    for (String vm : VMS) {
      other.start(
          vm, e -> e.ordering((s, now) -> s.lastOrderers().isEmpty() ? List.of(wish) : List.of()));
    }
    other.run(9_000);
    assertThat(other.orders).hasSize(1);
  }
}
