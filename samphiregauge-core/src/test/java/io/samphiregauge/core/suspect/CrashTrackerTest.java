package io.samphiregauge.core.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CrashTrackerTest {
  private final CrashTracker tracker = new CrashTracker();

  /** Guards against a request that crashes one server after another. */
  @Test
  void blocksARequestThatCrashedThreeServers() {
    tracker.recordCrash("f", "s@1");
    tracker.recordCrash("f", "t@1");
    assertThat(tracker.isBlocked("f")).isFalse();
    tracker.recordCrash("f", "s@2");
    assertThat(tracker.isBlocked("f")).isTrue();
    assertThat(tracker.isBlocked("g")).isFalse();
  }

  /** Guards against counting one crash several times because several entries report it. */
  @Test
  void countsOneCrashPerServerIncarnation() {
    tracker.recordCrash("f", "s@1");
    tracker.recordCrash("f", "s@1");
    tracker.recordCrash("f", "s@1");
    assertThat(tracker.isBlocked("f")).isFalse();
  }

  /** Guards against blocking a harmless request that ran beside the one that crashes servers. */
  @Test
  void aResponseClearsARequest() {
    tracker.recordCrash("f", "s@1");
    tracker.recordCrash("f", "t@1");
    tracker.recordResponse("f");
    tracker.recordCrash("f", "u@1");
    assertThat(tracker.isBlocked("f")).isFalse();
  }

  /** Guards against memory use that grows with every crash. */
  @Test
  void evictsTheOldestRequests() {
    for (int i = 0; i < 5_000; i++) {
      tracker.recordCrash("f" + i, "s@1");
    }
    for (int i = 2; i < 4; i++) {
      tracker.recordCrash("f0", "s@" + i);
    }
    assertThat(tracker.isBlocked("f0")).isFalse();
  }
}
