package io.samphiregauge.core.log;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.core.log.LogWriter.Append;
import io.samphiregauge.core.log.LogWriter.Event;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.PieceRelease;
import org.junit.jupiter.api.Test;

/**
 * The log may have stored records whose response was lost. They must be resent in the same order
 * and with the same sequence numbers, or records would be lost or stored twice.
 */
class LogWriterTest {
  private static final Incarnation SELF = new Incarnation("vm1", 1L, 1L);
  private static final RandomSource ZERO = () -> 0;

  private static Step<LogWriter, Append> tick(LogWriter writer, long nowMs) {
    return writer.handle(new Event.Tick(), at(nowMs), ZERO);
  }

  private static DualTimestamp at(long monotonicMs) {
    return new DualTimestamp(monotonicMs, 1_000_000 + monotonicMs);
  }

  private static LogWriter twoRecords() {
    return LogWriter.of(SELF).enqueue(new PieceRelease(0, 1)).enqueue(new PieceRelease(1, 1));
  }

  @Test
  void retriesWithTheSameSequenceNumbersAfterATimeout() {
    Step<LogWriter, Append> first = tick(twoRecords(), 0);
    Step<LogWriter, Append> early = tick(first.state(), LogWriter.CALL_TIMEOUT_MS);
    assertThat(early.actions()).isEmpty();
    Step<LogWriter, Append> again = tick(early.state(), early.state().retryAtMs());
    assertThat(again.actions().get(0).records()).isEqualTo(first.actions().get(0).records());
    assertThat(again.state().firstSentAt(1)).contains(at(0));
  }

  @Test
  void batchesRecordsThatWereAddedDuringAnOpenCall() {
    LogWriter open = tick(LogWriter.of(SELF).enqueue(new PieceRelease(0, 1)), 0).state();
    LogWriter more = open.enqueue(new PieceRelease(1, 1)).enqueue(new PieceRelease(2, 1));
    assertThat(tick(more, 1).actions()).isEmpty();
    Step<LogWriter, Append> next = more.handle(new Event.Acknowledged(1), at(2), ZERO);
    assertThat(next.actions().get(0).records())
        .extracting(LogRecord::getSequence)
        .containsExactly(2L, 3L);
  }

  @Test
  void doesNotResendARecordThatWasReadBack() {
    LogWriter failed =
        tick(twoRecords(), 0).state().handle(new Event.Failed(1), at(5), ZERO).state();
    LogWriter read = failed.handle(new Event.ReadBack(1), at(6), ZERO).state();
    assertThat(tick(read, read.retryAtMs()).actions().get(0).records())
        .extracting(LogRecord::getSequence)
        .containsExactly(2L);
  }

  @Test
  void ignoresTheResponseToAnEarlierCall() {
    LogWriter failed =
        tick(twoRecords(), 0).state().handle(new Event.Failed(1), at(5), ZERO).state();
    LogWriter second = tick(failed, failed.retryAtMs()).state();
    assertThat(second.handle(new Event.Acknowledged(1), at(500), ZERO).state()).isEqualTo(second);
  }

  @Test
  void backsOffExponentiallyUpToTheLimit() {
    LogWriter writer = tick(twoRecords(), 0).state();
    long nowMs = 0;
    long lastWaitMs = 0;
    for (int i = 0; i < 12; i++) {
      writer = writer.handle(new Event.Failed(writer.callId()), at(nowMs), ZERO).state();
      long waitMs = writer.retryAtMs() - nowMs;
      assertThat(waitMs).isBetween(lastWaitMs, LogWriter.MAX_BACKOFF_MS);
      lastWaitMs = waitMs;
      nowMs = writer.retryAtMs();
      writer = tick(writer, nowMs).state();
    }
    assertThat(lastWaitMs).isGreaterThanOrEqualTo(LogWriter.MAX_BACKOFF_MS / 2);
  }
}
