package io.samphiregauge.verify;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against invariants that cannot fail: each planted fault must be caught. */
class PlantedFaultsTest {
  static List<PlantedFaults.Planted> faults() {
    return PlantedFaults.ALL;
  }

  @ParameterizedTest
  @MethodSource("faults")
  void anInvariantCatchesThePlantedFault(PlantedFaults.Planted fault) {
    VerificationReport report =
        Verification.of(fault.within(), 1).with(fault.plant()).stopAtFirstFailure().run();
    assertThat(report.failed()).as("caught in %d schedules", fault.within()).isNotEmpty();
    FailedSchedule first = report.failed().get(0);
    assertThat(first.invariant()).isIn(fault.caughtBy());
    assertThat(first.replayedExactly()).isTrue();
    assertThat(first.trace()).last().asString().contains("VIOLATION " + first.invariant());
  }
}
