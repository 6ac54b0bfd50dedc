package io.samphiregauge.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CrashFollowerTest {
  /** Time within which a request that ends servers must be known; the shortest of all sites. */
  private static final long KNOWN_MS = 3_000;

  /** Guards against reads whose number grows with the fleet, and against crashes known too late. */
  @Test
  void largerFleetsReadLessOftenButInTime() {
    assertThat(CrashFollower.periodMs(1)).isEqualTo(CrashFollower.periodMs(8));
    assertThat(CrashFollower.periodMs(84)).isGreaterThanOrEqualTo(2 * CrashFollower.periodMs(8));
    assertThat(CrashFollower.periodMs(10_000)).isLessThan(KNOWN_MS);
  }
}
