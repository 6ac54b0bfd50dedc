package io.samphiregauge.gateway.control;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.duty.JumpTolerantClock;
import io.samphiregauge.core.duty.UsageAggregator;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.schema.gateway.UsageRecord;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Counts the requests of this process by window and team, and writes the counts to the store. Runs
 * on the control thread.
 */
final class UsageRecorder {
  /**
   * Maximum number of records per process and window. A killed process loses the counts since its
   * last record.
   */
  private static final int MAX_RECORDS_PER_WINDOW = 4;

  /**
   * Number of records of all processes per window, as long as each process writes at least one.
   * With more processes, the counts that a single one may lose are a smaller part of the total.
   */
  private static final int TOTAL_RECORDS_PER_WINDOW = 28;

  /** Delay of a window's last record after the end of the window, to include the last requests. */
  private static final long SETTLE_MS = 250;

  /** Delay after a failed write; all processes write soon after an outage of the store. */
  private static final long RETRY_MS = 1_000;

  private final ControlThread control;
  private final UsageExchange exchange;
  private final GroupMember self;
  private final long windowMs;
  private final IntSupplier processCount;
  private final UsageAggregator.ProcessKey processKey;
  private final Supplier<DualTimestamp> clock;
  private final JumpTolerantClock wallClock;
  private final UsageAggregator aggregator = new UsageAggregator();
  private int pendingWrites;
  private boolean hasUnwrittenCounts;
  private boolean retryScheduled;

  UsageRecorder(
      ControlThread control,
      UsageExchange exchange,
      GroupMember self,
      long windowMs,
      IntSupplier processCount,
      Supplier<DualTimestamp> clock) {
    this.processCount = processCount;
    this.control = control;
    this.exchange = exchange;
    this.self = self;
    this.processKey = new UsageAggregator.ProcessKey(self.vm(), self.startMs());
    this.windowMs = windowMs;
    this.clock = clock;
    DualTimestamp now = clock.get();
    this.wallClock = new JumpTolerantClock(now.monotonicMs(), now.wallMs());
  }

  void start() {
    scheduleWrite();
  }

  /** Returns the time that determines usage windows, in milliseconds since the epoch. */
  long wallTimeMs() {
    DualTimestamp now = clock.get();
    return wallClock.millis(now.monotonicMs(), now.wallMs());
  }

  /**
   * Counts a request in the window in which it started to run.
   *
   * @param team team to which the request is charged
   * @param ageMs time since the request started to run, in milliseconds
   */
  void count(String team, long ageMs) {
    aggregator.count(processKey, Math.floorDiv(wallTimeMs() - ageMs, windowMs), team);
    hasUnwrittenCounts = true;
  }

  /** Writes a record and tells whether it is in the store. */
  @FunctionalInterface
  private interface RecordWriter {
    void write(UsageRecord usage, Consumer<Boolean> whenDone);
  }

  /** Writes the counts if there are any that are not in the store. */
  private void flush() {
    if (hasUnwrittenCounts) {
      writeRecord(exchange::write, () -> {});
    }
  }

  /**
   * Writes the counts to the store directly if there are any that are not in it.
   *
   * @param whenDone called when they are written, or the write has failed
   */
  void flushDirectly(Runnable whenDone) {
    if (hasUnwrittenCounts || pendingWrites > 0) {
      writeRecord(exchange::append, whenDone);
    } else {
      whenDone.run();
    }
  }

  private void scheduleWrite() {
    int recordsPerProcess = TOTAL_RECORDS_PER_WINDOW / Math.max(1, processCount.getAsInt());
    long periodMs = windowMs / Math.max(1, Math.min(MAX_RECORDS_PER_WINDOW, recordsPerProcess));
    long delayMs = periodMs - Math.floorMod(wallTimeMs() - SETTLE_MS, periodMs);
    control.schedule(
        delayMs,
        () -> {
          flush();
          scheduleWrite();
        });
  }

  private void scheduleRetry() {
    if (!retryScheduled) {
      retryScheduled = true;
      control.schedule(
          RETRY_MS,
          () -> {
            retryScheduled = false;
            flush();
          });
    }
  }

  private void writeRecord(RecordWriter writer, Runnable whenDone) {
    hasUnwrittenCounts = false;
    pendingWrites++;
    UsageRecord record =
        new UsageRecord(self.vm(), self.startMs(), aggregator.recentWindows(processKey));
    writer.write(
        record,
        stored -> {
          pendingWrites--;
          if (!stored) {
            hasUnwrittenCounts = true;
            scheduleRetry();
          }
          whenDone.run();
        });
  }
}
