package io.samphiregauge.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against deadlines that do not count the time in which a request lay in its socket. */
class EventLoopLagTest {
  private long nowMs = 10_000;
  private final EventLoopLag lag = new EventLoopLag(() -> nowMs);

  private void runAt(long timeMs) {
    nowMs = timeMs;
    lag.recordRun();
  }

  @Test
  void eventLoopThatRunsItsTasksInTimeHasNoLag() {
    runAt(10_100);
    runAt(10_203);
    nowMs = 10_290;
    assertThat(lag.unreadMs()).isZero();
  }

  @Test
  void lagGrowsWhileTheTaskDoesNotRun() {
    runAt(10_100);
    nowMs = 10_900;
    assertThat(lag.unreadMs()).isEqualTo(800);
  }

  /** The task runs after the other tasks of a pass, and the sockets are read right after it. */
  @Test
  void lateRunDoesNotHideTheTimeBeforeIt() {
    runAt(10_100);
    runAt(11_000);
    nowMs = 11_010;
    assertThat(lag.unreadMs()).isEqualTo(810);
    runAt(11_100);
    assertThat(lag.unreadMs()).isZero();
  }
}
