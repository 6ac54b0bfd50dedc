package io.samphiregauge.core.room;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PlaceLimitTest {
  private static final int SLOTS = 10;
  private static final long MAX_AGE_MS = 750;
  private final PlaceLimit limit = new PlaceLimit(SLOTS);

  /** Guards against one rush that lowers the limit once for each of its rejections. */
  @Test
  void rejectionsWithinTheAgeOfLoadsLowerTheLimitOnce() {
    int before = limit.places();
    for (long nowMs = 0; nowMs < MAX_AGE_MS; nowMs += 100) {
      limit.recordRejection(RejectionCause.FULL, nowMs, MAX_AGE_MS, nowMs);
    }
    assertThat(limit.places()).isEqualTo((int) (before * 0.8));
  }

  /** Guards against a server that keeps rejecting and is then not used at all. */
  @Test
  void limitKeepsTheSlotsAndRisesAgain() {
    for (long nowMs = 0; nowMs < 60_000; nowMs += 1_000) {
      limit.recordRejection(RejectionCause.FULL, nowMs, MAX_AGE_MS, nowMs);
    }
    assertThat(limit.places()).isEqualTo(SLOTS);
    for (int i = 0; i < 200; i++) {
      limit.recordAccepted(70_000 + i, SLOTS);
    }
    assertThat(limit.places()).isGreaterThan(SLOTS);
  }

  /** Guards against a limit that rises without evidence, from responses of an idle server. */
  @Test
  void acceptedRequestsOfAnIdleServerDoNotRaiseTheLimit() {
    limit.recordRejection(RejectionCause.FULL, 0, MAX_AGE_MS, 0);
    int lowered = limit.places();
    for (int i = 0; i < 200; i++) {
      limit.recordAccepted(10_000 + i, 1);
    }
    assertThat(limit.places()).isEqualTo(lowered);
  }

  /** Guards against requests of before a rejection that extend the pause when they are rejected. */
  @Test
  void rejectionsOfEarlierRequestsDoNotExtendThePause() {
    limit.recordRejection(RejectionCause.FULL, 0, MAX_AGE_MS, 10);
    limit.recordRejection(RejectionCause.FULL, 5, MAX_AGE_MS, 40);
    assertThat(limit.isPaused(40)).isTrue();
    assertThat(limit.isPaused(60)).isFalse();
  }
}
