package io.samphiregauge.core.duty;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class JumpTolerantClockTest {
  /** Guards against requests that are counted in the wrong window while the clock is wrong. */
  @Test
  void ignoresAJumpThatIsReverted() {
    JumpTolerantClock clock = new JumpTolerantClock(0, 1_000_000);
    assertThat(clock.millis(1_000, 1_001_000)).isEqualTo(1_001_000);
    assertThat(clock.millis(2_000, 1_004_400)).isEqualTo(1_002_000);
    assertThat(clock.millis(8_000, 1_010_400)).isEqualTo(1_008_000);
    assertThat(clock.millis(9_000, 1_009_000)).isEqualTo(1_009_000);
  }

  /** Guards against a clock that stays behind permanently after a VM was suspended. */
  @Test
  void adoptsAJumpThatLasts() {
    JumpTolerantClock clock = new JumpTolerantClock(0, 1_000_000);
    clock.millis(1_000, 1_006_000);
    assertThat(clock.millis(10_900, 1_015_900)).isEqualTo(1_010_900);
    assertThat(clock.millis(11_100, 1_016_100)).isEqualTo(1_016_100);
  }

  /** Guards against drift that accumulates. */
  @Test
  void followsDriftImmediately() {
    JumpTolerantClock clock = new JumpTolerantClock(0, 1_000_000);
    for (long second = 1; second <= 1_000; second++) {
      long wall = 1_000_000 + second * 1_010;
      assertThat(clock.millis(second * 1_000, wall)).isEqualTo(wall);
    }
  }
}
