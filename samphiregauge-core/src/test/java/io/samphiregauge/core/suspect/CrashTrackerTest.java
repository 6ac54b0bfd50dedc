package io.samphiregauge.core.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CrashTrackerTest {
  private final CrashTracker tracker = new CrashTracker();

  /** Guards against a request that brings down one server after the other. */
  @Test
  void blocksARequestThatBroughtDownThreeServers() {
    tracker.recordCrash("f", "s@1");
    tracker.recordCrash("f", "t@1");
    assertThat(tracker.isBlocked("f")).isFalse();
    tracker.recordCrash("f", "s@2");
    assertThat(tracker.isBlocked("f")).isTrue();
    assertThat(tracker.isBlocked("g")).isFalse();
  }

  /** Guards against one crash that several entries report. */
  @Test
  void countsEachStartOfAServerOnce() {
    tracker.recordCrash("f", "s@1");
    tracker.recordCrash("f", "s@1");
    tracker.recordCrash("f", "s@1");
    assertThat(tracker.isBlocked("f")).isFalse();
  }

  /** Guards against a harmless request that ran beside the one that crashes. */
  @Test
  void anAnswerClearsARequest() {
    tracker.recordCrash("f", "s@1");
    tracker.recordCrash("f", "t@1");
    tracker.recordResponse("f");
    tracker.recordCrash("f", "u@1");
    assertThat(tracker.isBlocked("f")).isFalse();
  }

  /** Guards against memory that grows with each crash. */
  @Test
  void remembersTheNewestRequestsOnly() {
    for (int i = 0; i < 5_000; i++) {
      tracker.recordCrash("f" + i, "s@1");
    }
    for (int i = 2; i < 4; i++) {
      tracker.recordCrash("f0", "s@" + i);
    }
    assertThat(tracker.isBlocked("f0")).isFalse();
  }
}
