package io.samphiregauge.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.log.Freshness;
import io.samphiregauge.core.order.DesiredChange;
import io.samphiregauge.schema.order.Drain;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.PieceRange;
import io.samphiregauge.schema.record.UsageFigure;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against failures that several components of the coordinator must handle together. */
class CoordinatorTest {
  private static final List<String> VMS = List.of("vm1a", "vm2b", "vm3c", "vm4d", "vm5a");
  private final CoordinatorSimulation simulation = new CoordinatorSimulation(11);

  @BeforeEach
  void start() {
    simulation.appendNote("ann", -1, 20);
    VMS.forEach(simulation::start);
    simulation.runFor(8_000);
  }

  private String holder() {
    assertThat(simulation.fleetHolders()).hasSize(1);
    return simulation.fleetHolders().get(0);
  }

  /** Counts the pieces that the entries use, and checks that no two entries use the same piece. */
  private int countAssignedPieces() {
    int[] holders = new int[20];
    for (String vm : simulation.coordinators.keySet()) {
      for (PieceRange range : simulation.coordinator(vm).pieces(simulation.now(vm))) {
        IntStream.range(range.getFirst(), range.getFirst() + range.getCount())
            .forEach(piece -> holders[piece]++);
      }
    }
    assertThat(IntStream.of(holders).max().orElse(0)).isLessThanOrEqualTo(1);
    return IntStream.of(holders).sum();
  }

  @Test
  void entriesJoinElectOneHolderAndShareThePieces() {
    holder();
    assertThat(simulation.countServing()).isEqualTo(5);
    assertThat(countAssignedPieces()).isEqualTo(20);
  }

  @Test
  void killedHolderIsReplacedAndItsPiecesMoveOnlyAfterItsEndIsRecorded() {
    String killed = holder();
    simulation.coordinators.remove(killed);
    simulation.runFor(12_000);
    assertThat(holder()).isNotEqualTo(killed);
    assertThat(countAssignedPieces()).isEqualTo(16);
    simulation.runFor(14_000);
    assertThat(countAssignedPieces()).isEqualTo(16);
    simulation.runFor(18_000);
    assertThat(countAssignedPieces()).isEqualTo(20);
  }

  @Test
  void resumedHolderNoLongerActs() {
    String resumed = holder();
    simulation.pausedVms.add(resumed);
    simulation.runFor(15_000);
    simulation.pausedVms.clear();
    assertThat(simulation.coordinator(resumed).fleetLease().mayAct(simulation.now(resumed)))
        .isFalse();
    assertThat(simulation.coordinator(resumed).mayServe(simulation.now(resumed))).isFalse();
    assertThat(simulation.coordinator(resumed).isFenced(simulation.now(resumed))).isTrue();
    simulation.runFor(1_000);
    assertThat(simulation.coordinator(resumed).mayServe(simulation.now(resumed))).isTrue();
    assertThat(simulation.fleetHolders()).doesNotContain(resumed);
  }

  /** Guards against a resumed holder whose monotonic clock stood still while another one acted. */
  @Test
  void resumedHolderOfASuspendedVmNoLongerActs() {
    String resumed = holder();
    simulation.suspendedVms.add(resumed);
    simulation.runFor(15_000);
    simulation.suspendedVms.clear();
    assertThat(simulation.fleetHolders()).hasSize(1).doesNotContain(resumed);
    simulation.runFor(1_000);
    assertThat(simulation.fleetHolders()).hasSize(1).doesNotContain(resumed);
  }

  /**
   * Guards against keys that are accepted after their withdrawal, and pieces that are used after
   * their reassignment, because the monotonic clock of the entry stood still meanwhile.
   */
  @Test
  void entryOfASuspendedVmIsFencedUntilItsNextContact() {
    simulation.suspendedVms.add("vm3c");
    simulation.runFor(60_000);
    simulation.suspendedVms.clear();
    Coordinator resumed = simulation.coordinator("vm3c");
    DualTimestamp now = simulation.now("vm3c");
    assertThat(resumed.mayServe(now)).isFalse();
    assertThat(resumed.isFenced(now)).isTrue();
    assertThat(resumed.pieces(now)).isEmpty();
  }

  /**
   * Guards against keys that are accepted after their withdrawal while the log is unreachable, and
   * against entries that record the end of one another because of the outage.
   */
  @Test
  void logOutageStopsKeyedRequestsAndFencesNoEntry() {
    simulation.logDown = true;
    simulation.runFor(Freshness.MAX_STALENESS_MS + 1_000);
    assertThat(simulation.countServing()).isZero();
    simulation.runFor(600_000);
    assertThat(simulation.countServing()).isZero();
    assertThat(VMS).noneMatch(vm -> simulation.coordinator(vm).isFenced(simulation.now(vm)));
    assertThat(simulation.fleetHolders()).isEmpty();
    assertThat(countAssignedPieces()).isEqualTo(20);
    simulation.logDown = false;
    simulation.runFor(15_000);
    assertThat(simulation.countServing()).isEqualTo(5);
    holder();
    assertThat(simulation.log.stream().filter(r -> r.getBody() instanceof Ended)).isEmpty();
  }

  @Test
  void minorityWithoutLogStopsServingWhileMajorityContinues() {
    for (String vm : List.of("vm1a", "vm2b")) {
      simulation.vmsWithoutLog.add(vm);
      VMS.subList(2, 5).forEach(other -> simulation.cutLinks.add(Set.of(vm, other)));
    }
    simulation.runFor(Freshness.MAX_STALENESS_MS + 1_000);
    assertThat(simulation.countServing()).isEqualTo(3);
    simulation.runFor(60_000);
    assertThat(simulation.countServing()).isEqualTo(3);
    assertThat(countAssignedPieces()).isEqualTo(20);
  }

  @Test
  void entryWithoutLogContactReceivesRecordsFromPeers() {
    simulation.vmsWithoutLog.add("vm5a");
    simulation.runFor(20_000);
    assertThat(simulation.countServing()).isEqualTo(5);
    simulation.appendNote("bob", simulation.coordinator("vm1a").state().noteOffset(), 5);
    simulation.runFor(3_000);
    assertThat(simulation.coordinator("vm5a").state().noteOffset())
        .isEqualTo(simulation.coordinator("vm1a").state().noteOffset());
  }

  @Test
  void leavingEntryReleasesLeasesAndPieces() {
    String leaving = holder();
    simulation.handle(leaving, new CoordinatorEvent.ShutdownStarted());
    simulation.runFor(3_000);
    assertThat(simulation.coordinators).doesNotContainKey(leaving);
    assertThat(holder()).isNotEqualTo(leaving);
    assertThat(countAssignedPieces()).isEqualTo(20);
  }

  @Test
  void usageOfAllEntriesIsReportedOnce() {
    VMS.forEach(
        vm ->
            simulation.handle(
                vm,
                new CoordinatorEvent.UsageRecorded(new UsageFigure("t1", "m-ann", 1, 10, 20, 30))));
    simulation.runFor(70_000);
    assertThat(simulation.reports).isNotEmpty();
    long tokens =
        simulation.reports.stream()
            .flatMap(report -> report.report().report().getFigures().stream())
            .mapToLong(UsageFigure::getPromptTokens)
            .sum();
    assertThat(tokens).isEqualTo(50);
  }

  @Test
  void onlyTheLeaseHolderSendsAnOrderAndSendsItOnce() {
    CoordinatorSimulation orderSimulation = new CoordinatorSimulation(12);
    orderSimulation.appendNote("ann", -1, 20);
    DesiredChange change = new DesiredChange("engine-ann", new Drain("test"), "test");
    for (String vm : VMS) {
      orderSimulation.start(
          vm,
          config ->
              config.withDesiredChanges(
                  (state, now) -> state.lastOrderers().isEmpty() ? List.of(change) : List.of()));
    }
    orderSimulation.runFor(9_000);
    assertThat(orderSimulation.orders).hasSize(1);
  }
}
