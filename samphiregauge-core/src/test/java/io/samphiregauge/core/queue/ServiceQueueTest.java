package io.samphiregauge.core.queue;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.room.WorkRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Brings about one failure at a time in front of a full service. */
class ServiceQueueTest {
  private static final long PATIENCE_MS = 2_000;
  private static final long DEADLINE_MS = 3_000;

  private ServiceQueue queue;
  private long lastNumber;

  @BeforeEach
  void createQueue() {
    queue = new ServiceQueue(new QueueLimits(4, 10_000), 0);
  }

  private QueuedRequest request(int rank, String caller, long bytes, long nowMs) {
    lastNumber++;
    WorkRequest work =
        new WorkRequest(
            lastNumber, "s", "team", rank, 100, 0, nowMs, nowMs + 250, nowMs + PATIENCE_MS);
    return new QueuedRequest(work, "kind" + rank, "", caller, nowMs + DEADLINE_MS, bytes, 0);
  }

  private QueuedRequest request(int rank, long nowMs) {
    return request(rank, "caller" + lastNumber, 100, nowMs);
  }

  private static <T extends QueueDecision> List<T> only(
      Class<T> type, List<QueueDecision> decisions) {
    return decisions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  /** Sends one request every 10 ms, so that a rate is known. */
  private void fill(long fromMs, long toMs) {
    for (long nowMs = fromMs; nowMs < toMs; nowMs += 10) {
      assertThat(only(QueueDecision.Send.class, queue.offer(request(0, nowMs), 1, nowMs)))
          .hasSize(1);
    }
  }

  /** Guards against a place that is given to a request whose caller has left. */
  @Test
  void theNextRequestIsSentAfterTheCallerOfTheFirstHasLeft() {
    QueuedRequest left = request(0, 0);
    QueuedRequest next = request(0, 1);
    queue.offer(left, 0, 0);
    queue.offer(next, 0, 1);
    assertThat(queue.remove(left.work().number())).isTrue();
    List<QueueDecision> decisions = queue.advance(1, 2);
    assertThat(only(QueueDecision.Send.class, decisions))
        .extracting(QueueDecision.Send::request)
        .containsExactly(next);
    assertThat(queue.waitingBytes()).isZero();
  }

  /** Guards against urgent requests that wait behind less urgent ones, and against starvation. */
  @Test
  void anUrgentRequestIsSentBeforeEarlierOnes() {
    QueuedRequest early = request(2, 0);
    QueuedRequest urgent = request(0, 5);
    queue.offer(early, 0, 0);
    queue.offer(urgent, 0, 5);
    assertThat(only(QueueDecision.Send.class, queue.advance(1, 6)))
        .extracting(QueueDecision.Send::request)
        .containsExactly(urgent);
  }

  /** Guards against a refusal of all waiting requests after the process was stopped for 3 s. */
  @Test
  void afterAStopOfTheProcessOnlyHopelessRequestsAreRefused() {
    fill(0, 1_000);
    QueuedRequest old = request(0, 1_000);
    queue.offer(old, 0, 1_000);
    long wakesAtMs = 4_000;
    assertThat(only(QueueDecision.Refuse.class, queue.advance(0, wakesAtMs)))
        .extracting(refused -> refused.request())
        .containsExactly(old);
    List<QueueDecision> decisions = queue.offer(request(0, wakesAtMs), 0, wakesAtMs);
    assertThat(only(QueueDecision.Wait.class, decisions)).hasSize(1);
    assertThat(only(QueueDecision.Refuse.class, queue.advance(0, wakesAtMs + 100))).isEmpty();
  }

  /** Guards against requests that wait until their caller gives up after all servers were lost. */
  @Test
  void requestsAreRefusedOnceNothingHasBeenSentForLong() {
    queue = new ServiceQueue(new QueueLimits(256, 1_000_000), 0);
    fill(0, 2_000);
    List<Long> refusedAfterMs = new ArrayList<>();
    for (long nowMs = 2_000; nowMs < 6_000; nowMs += 50) {
      List<QueueDecision> decisions = new ArrayList<>(queue.advance(0, nowMs));
      decisions.addAll(queue.offer(request(0, nowMs), 0, nowMs));
      for (QueueDecision.Refuse refused : only(QueueDecision.Refuse.class, decisions)) {
        refusedAfterMs.add(refused.waitedMs());
      }
    }
    assertThat(refusedAfterMs).hasSizeGreaterThan(50);
    long waitedLong =
        refusedAfterMs.stream().filter(waitedMs -> waitedMs > PATIENCE_MS / 2).count();
    assertThat(waitedLong).isLessThan(refusedAfterMs.size() / 10);
  }

  /** Guards against a queue that grows without bounds, in requests and in bytes. */
  @Test
  void theLeastUrgentRequestGivesWayWhenTheQueueIsFull() {
    QueuedRequest low = request(2, 0);
    queue.offer(low, 0, 0);
    for (int i = 0; i < 3; i++) {
      queue.offer(request(0, 1), 0, 1);
    }
    assertThat(only(QueueDecision.Refuse.class, queue.offer(request(0, 2), 0, 2)))
        .extracting(refused -> refused.request())
        .containsExactly(low);
    QueuedRequest big = request(1, "big", 9_900, 3);
    assertThat(only(QueueDecision.Refuse.class, queue.offer(big, 0, 3)))
        .extracting(refused -> refused.request())
        .containsExactly(big);
    assertThat(queue.size()).isEqualTo(4);
  }

  /** Guards against a second promise, or a wait, for a caller that repeats before its time. */
  @Test
  void aCallerThatRepeatsEarlyKeepsItsTimeAndOneThatReturnsInTimeGoesFirst() {
    fill(0, 2_000);
    QueueDecision.Refuse refused = refuseByBytes("caller", 2_000);
    assertThat(refused.promised()).isTrue();
    long dueMs = 2_000 + refused.returnAfterMs();
    QueueDecision.Refuse again = offerExpectingRefusal(request(0, "caller", 100, 2_010), 2_010);
    assertThat(again.reason()).isEqualTo(QueueDecision.Reason.EARLY_REPEAT);
    assertThat(2_010 + again.returnAfterMs()).isEqualTo(dueMs);
    QueuedRequest newcomer = request(0, dueMs - 1);
    QueuedRequest returning = request(0, "caller", 100, dueMs);
    queue.offer(newcomer, 0, dueMs - 1);
    queue.offer(returning, 0, dueMs);
    assertThat(only(QueueDecision.Send.class, queue.advance(1, dueMs)))
        .extracting(QueueDecision.Send::request)
        .containsExactly(returning);
  }

  /** Guards against callers that are told to return at the same time. */
  @Test
  void timesToReturnFollowEachOther() {
    fill(0, 2_000);
    long first = refuseByBytes("first", 2_000).returnAfterMs();
    long second = refuseByBytes("second", 2_000).returnAfterMs();
    assertThat(first).isGreaterThanOrEqualTo(ReturnCalendar.MIN_DELAY_MS);
    assertThat(second).isGreaterThan(first).isLessThanOrEqualTo(DEADLINE_MS / 3);
  }

  private QueueDecision.Refuse refuseByBytes(String caller, long nowMs) {
    return offerExpectingRefusal(request(0, caller, 20_000, nowMs), nowMs);
  }

  private QueueDecision.Refuse offerExpectingRefusal(QueuedRequest request, long nowMs) {
    List<QueueDecision.Refuse> refusals =
        only(QueueDecision.Refuse.class, queue.offer(request, 0, nowMs));
    assertThat(refusals).extracting(QueueDecision.Refuse::request).containsExactly(request);
    return refusals.get(0);
  }

  /** Guards against a caller that returns before the forecast and is refused again. */
  @Test
  void nobodyIsToldToReturnBeforeRoomIsExpected() {
    assertThat(queue.returnAfterMs(request(0, 2_000), 700, 2_000)).isGreaterThanOrEqualTo(700);
  }

  /** Guards against a caller's return at another entry that is taken for a first attempt. */
  @Test
  void theAgeOfACallerShowsInTheTimeThatItStillWaits() {
    CallerAges ages = new CallerAges();
    assertThat(ages.record("kind", OptionalLong.of(3_000))).isZero();
    assertThat(ages.record("kind", OptionalLong.of(2_600))).isZero();
    assertThat(ages.record("kind", OptionalLong.of(2_000))).isEqualTo(1_000);
    assertThat(ages.record("kind", OptionalLong.empty())).isZero();
  }
}
