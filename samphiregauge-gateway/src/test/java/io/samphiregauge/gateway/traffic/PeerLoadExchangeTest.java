package io.samphiregauge.gateway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerLoadExchangeTest {
  /**
   * Guards against discarding loads before the next message arrives: with more than 100 members,
   * the send period exceeded the retention time.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 8, 84, 120, 560})
  void loadsAreRetainedUntilNextMessageAfterOneLoss(int memberCount) {
    assertThat(PeerLoadExchange.retentionMs(memberCount))
        .isGreaterThanOrEqualTo(2 * PeerLoadExchange.sendPeriodMs(memberCount));
  }
}
