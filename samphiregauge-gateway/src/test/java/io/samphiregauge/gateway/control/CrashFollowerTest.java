package io.samphiregauge.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CrashFollowerTest {
  /** Time within which a request that ends servers must be known; the shortest of all sites. */
  private static final long MAX_PROPAGATION_MS = 3_000;

  /** Guards against reads whose number grows with the fleet, and against crashes known too late. */
  @Test
  void pollPeriodGrowsWithFleetSizeUpToTheBound() {
    assertThat(CrashFollower.pollPeriodMs(1)).isEqualTo(CrashFollower.pollPeriodMs(8));
    assertThat(CrashFollower.pollPeriodMs(84))
        .isGreaterThanOrEqualTo(2 * CrashFollower.pollPeriodMs(8));
    assertThat(CrashFollower.pollPeriodMs(10_000)).isLessThan(MAX_PROPAGATION_MS);
  }
}
