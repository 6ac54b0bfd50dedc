package io.samphiregauge.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.DualTimestamp;
import org.junit.jupiter.api.Test;

class CrashFollowerTest {
  /** Time within which all entries must know of a crash; the shortest limit of the deployments. */
  private static final long MAX_PROPAGATION_MS = 3_000;

  /**
   * Guards against crashes that stay unknown because the reader of the failure domain has lost the
   * store but still replies.
   */
  @Test
  void readerThatHasLostTheStoreDoesNotSuffice() {
    DualTimestamp now = new DualTimestamp(100_000, 900_000);
    assertThat(CrashFollower.isReaderRecent(now.minusMs(1_000), now)).isTrue();
    assertThat(CrashFollower.isReaderRecent(now.minusMs(MAX_PROPAGATION_MS), now)).isFalse();
    assertThat(CrashFollower.isReaderRecent(DualTimestamp.NEVER, now)).isFalse();
  }

  /** Guards against a read rate that grows with the fleet, and against crashes known too late. */
  @Test
  void pollPeriodGrowsWithFleetSizeUpToTheBound() {
    assertThat(CrashFollower.pollPeriodMs(1)).isEqualTo(CrashFollower.pollPeriodMs(8));
    assertThat(CrashFollower.pollPeriodMs(84))
        .isGreaterThanOrEqualTo(2 * CrashFollower.pollPeriodMs(8));
    assertThat(CrashFollower.pollPeriodMs(10_000)).isLessThan(MAX_PROPAGATION_MS);
  }
}
