package io.samphiregauge.gateway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerLoadsTest {
  /**
   * Guards against loads that are forgotten before the next message comes, which happened with more
   * than 100 members.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 8, 84, 120, 560})
  void loadsCountUntilTheNextMessageEvenIfOneIsLost(int members) {
    assertThat(PeerLoads.keptMs(members)).isGreaterThanOrEqualTo(2 * PeerLoads.periodMs(members));
  }
}
