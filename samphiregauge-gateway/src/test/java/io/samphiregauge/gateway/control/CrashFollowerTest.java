package io.samphiregauge.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CrashFollowerTest {
  /** Time within which all entries must know of a crash; the shortest limit of the deployments. */
  private static final long MAX_PROPAGATION_MS = 3_000;

  /** Guards against a read rate that grows with the fleet, and against crashes known too late. */
  @Test
  void pollPeriodGrowsWithFleetSizeUpToTheBound() {
    assertThat(CrashFollower.pollPeriodMs(1)).isEqualTo(CrashFollower.pollPeriodMs(8));
    assertThat(CrashFollower.pollPeriodMs(84))
        .isGreaterThanOrEqualTo(2 * CrashFollower.pollPeriodMs(8));
    assertThat(CrashFollower.pollPeriodMs(10_000)).isLessThan(MAX_PROPAGATION_MS);
  }
}
