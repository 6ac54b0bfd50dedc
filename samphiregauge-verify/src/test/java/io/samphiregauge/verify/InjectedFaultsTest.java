package io.samphiregauge.verify;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against invariants that cannot fail: each injected fault must violate one of them. */
class InjectedFaultsTest {
  static List<InjectedFaults.InjectedFault> faults() {
    return InjectedFaults.ALL;
  }

  @ParameterizedTest
  @MethodSource("faults")
  void invariantDetectsInjectedFault(InjectedFaults.InjectedFault fault) {
    VerificationReport report =
        Verification.of(fault.maxSchedules(), 1)
            .withInjection(fault.injection())
            .stopAtFirstFailure()
            .run();
    assertThat(report.failed())
        .as("detected within %d schedules", fault.maxSchedules())
        .isNotEmpty();
    FailedSchedule failed = report.failed().get(0);
    assertThat(failed.invariant()).isIn(fault.detectedBy());
    assertThat(failed.replayedExactly()).isTrue();
    assertThat(failed.trace()).last().asString().contains("VIOLATION " + failed.invariant());
  }
}
