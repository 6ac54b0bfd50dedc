package io.samphiregauge.core.admit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against requests that are held although another entry could serve them sooner. */
class WaitPolicyTest {
  @Test
  void requestIsHeldWithinItsObjective() {
    assertThat(WaitPolicy.isWorthHolding(100, 20, 100, 1_000)).isTrue();
    assertThat(WaitPolicy.isWorthHolding(101, 20, 100, 1_000)).isFalse();
  }

  /** A request that has used up its objective is late at this entry in any case. */
  @Test
  void requestBeyondItsObjectiveIsNotHeld() {
    assertThat(WaitPolicy.isWorthHolding(1, 20, 0, 1_000)).isFalse();
  }

  @Test
  void requestIsNotHeldBeyondThePatienceOfItsCaller() {
    assertThat(WaitPolicy.isWorthHolding(90, 20, 100, 109)).isFalse();
    assertThat(WaitPolicy.isWorthHolding(90, 20, 100, 110)).isTrue();
  }
}
