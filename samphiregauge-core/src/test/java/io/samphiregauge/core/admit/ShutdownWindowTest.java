package io.samphiregauge.core.admit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a planned stop that accepts requests it cannot finish, or refuses too many. */
class ShutdownWindowTest {
  private static final long START_MS = 100_000;
  private static final ShutdownWindow WINDOW = new ShutdownWindow(START_MS, START_MS + 7_200);

  @Test
  void earlyRequestsAreAcceptedWhateverTheirDeadline() {
    assertThat(WINDOW.accepts(START_MS + 60_000, START_MS)).isTrue();
    assertThat(WINDOW.accepts(START_MS + 60_000, START_MS + 2_499)).isTrue();
  }

  /** A request sent later than 3 s after the signal has no excuse for a missing answer. */
  @Test
  void lateRequestsAreAcceptedIfTheirDeadlineIsBeforeTheEnd() {
    assertThat(WINDOW.accepts(START_MS + 7_000, START_MS + 2_500)).isTrue();
    assertThat(WINDOW.accepts(START_MS + 7_101, START_MS + 2_500)).isFalse();
    assertThat(WINDOW.accepts(START_MS + 11_200, START_MS + 3_200)).isFalse();
    assertThat(WINDOW.accepts(START_MS + 4_200, START_MS + 3_200)).isTrue();
  }

  @Test
  void shortStopKeepsHalfOfItsTimeForWhatRuns() {
    ShutdownWindow brief = new ShutdownWindow(START_MS, START_MS + 2_000);
    assertThat(brief.accepts(START_MS + 8_000, START_MS + 999)).isTrue();
    assertThat(brief.accepts(START_MS + 8_000, START_MS + 1_000)).isFalse();
  }

  @Test
  void nothingIsAcceptedAfterTheEnd() {
    ShutdownWindow over = new ShutdownWindow(START_MS, START_MS - 500);
    assertThat(over.accepts(START_MS + 1, START_MS)).isFalse();
  }
}
