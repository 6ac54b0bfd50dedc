package io.samphiregauge.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.backend.BackendServer;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against requests to servers that leave, or that have asked for a wait. */
class ServerNoticesTest {
  private static final BackendServer SERVER = server("i-1", 1_000);

  private final ServerNotices notices = new ServerNotices();

  private static BackendServer server(String id, long startedMs) {
    return new BackendServer(
        id, startedMs, "desk", "v1", "10.0.0.1:80", "a", 4, false, Optional.empty(), false);
  }

  /** Counts the requests that may be sent at a moment, and sends them. */
  private int sendAll(long nowMs) {
    int sent = 0;
    while (sent < 1_000 && notices.mayContact(SERVER, nowMs)) {
      notices.recordContact(SERVER, nowMs);
      sent++;
    }
    return sent;
  }

  @Test
  void leavingServerIsUsableAgainOnlyAfterALaterStart() {
    assertThat(notices.recordLeaving(SERVER)).isTrue();
    assertThat(notices.recordLeaving(SERVER)).isFalse();
    assertThat(notices.mayContact(SERVER, 1_000_000)).isFalse();
    assertThat(notices.contactableAtMs(SERVER, 0)).isEmpty();
    assertThat(notices.mayContact(server("i-1", 999), 0)).isFalse();
    assertThat(notices.mayContact(server("i-1", 1_001), 0)).isTrue();
    assertThat(notices.mayContact(server("i-2", 1_000), 0)).isTrue();
  }

  /** An older announcement must not undo the notice of the present start. */
  @Test
  void noticeOfAnEarlierStartDoesNotReplaceThatOfALaterOne() {
    notices.recordLeaving(server("i-1", 2_000));
    assertThat(notices.recordLeaving(SERVER)).isFalse();
    assertThat(notices.mayContact(server("i-1", 2_000), 0)).isFalse();
  }

  @Test
  void waitEndsByItself() {
    assertThat(notices.recordWait(SERVER, 3_000, 10_000)).isTrue();
    assertThat(notices.recordWait(SERVER, 3_000, 10_001)).isFalse();
    assertThat(notices.mayContact(SERVER, 13_000)).isFalse();
    assertThat(notices.contactableAtMs(SERVER, 10_500)).hasValue(13_001);
    assertThat(notices.mayContact(SERVER, 13_001)).isTrue();
    assertThat(notices.mayContact(server("i-1", 1_001), 10_002)).isTrue();
  }

  /** The time of the longest wait counts, since each response promised it. */
  @Test
  void shorterWaitDoesNotEndALongerOne() {
    notices.recordWait(SERVER, 3_000, 10_000);
    notices.recordWait(SERVER, 600, 10_000);
    assertThat(notices.mayContact(SERVER, 12_999)).isFalse();
  }

  /** Guards against a burst of all requests that were held off at the end of a wait. */
  @Test
  void requestsReturnAsResponsesShowRoom() {
    notices.recordWait(SERVER, 1_000, 0);
    assertThat(sendAll(1_000)).isEqualTo(1);
    notices.recordResponse(SERVER, 1_000);
    assertThat(sendAll(1_010)).isEqualTo(2);
    notices.recordResponse(SERVER, 1_010);
    notices.recordResponse(SERVER, 1_010);
    assertThat(sendAll(1_020)).isEqualTo(4);
    for (int i = 0; i < 5; i++) {
      notices.recordResponse(SERVER, 1_020);
    }
    assertThat(sendAll(1_030)).isEqualTo(1_000);
  }

  /** Requests in flight go on through a wait; their responses do not end it. */
  @Test
  void responseToARequestFromBeforeTheWaitShowsNoRoom() {
    notices.recordWait(SERVER, 1_000, 0);
    assertThat(notices.recordResponse(SERVER, -50)).isFalse();
    assertThat(notices.mayContact(SERVER, 999)).isFalse();
    assertThat(sendAll(1_000)).isEqualTo(1);
  }

  /** Guards against a server that is shut out for good because the response to a trial was lost. */
  @Test
  void trialIsRepeatedAfterALostResponse() {
    notices.recordWait(SERVER, 1_000, 0);
    assertThat(sendAll(1_000)).isEqualTo(1);
    assertThat(sendAll(1_000 + ServerNotices.TRIAL_PERIOD_MS - 1)).isZero();
    assertThat(sendAll(1_000 + ServerNotices.TRIAL_PERIOD_MS)).isEqualTo(1);
  }

  @Test
  void waitDuringRecoveryStartsOver() {
    notices.recordWait(SERVER, 1_000, 0);
    sendAll(1_000);
    notices.recordResponse(SERVER, 1_000);
    assertThat(notices.recordWait(SERVER, 2_000, 1_010)).isTrue();
    assertThat(sendAll(3_009)).isZero();
    assertThat(sendAll(3_010)).isEqualTo(1);
  }
}
