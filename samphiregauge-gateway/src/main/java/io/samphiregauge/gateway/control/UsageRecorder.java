package io.samphiregauge.gateway.control;

import io.samphiregauge.core.duty.JumpTolerantClock;
import io.samphiregauge.core.duty.UsageAggregator;
import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.Topic;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.gateway.UsageRecord;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.IntSupplier;

/**
 * Counts the requests of this process by window and team, and writes the counts to the store. Runs
 * on the control thread.
 */
final class UsageRecorder {
  /** Most records of a process in each window; a killed process loses what came after the last. */
  private static final int MAX_RECORDS_PER_WINDOW = 4;

  /** Records of all processes in each window; with more processes, each one's loss weighs less. */
  private static final int MAX_TOTAL_RECORDS_PER_WINDOW = 28;

  /** Time after a window's end until its last requests are counted. */
  private static final long SETTLE_MS = 250;

  private final ControlThread control;
  private final SharedStore store;
  private final GroupMember self;
  private final long windowMs;
  private final IntSupplier processCount;
  private final UsageAggregator.ProcessKey processKey;
  private final JumpTolerantClock clock;
  private final UsageAggregator aggregator = new UsageAggregator();
  private boolean hasUnwrittenCounts;

  UsageRecorder(
      ControlThread control,
      SharedStore store,
      GroupMember self,
      long windowMs,
      IntSupplier processCount) {
    this.processCount = processCount;
    this.control = control;
    this.store = store;
    this.self = self;
    this.processKey = new UsageAggregator.ProcessKey(self.vm(), self.boot());
    this.windowMs = windowMs;
    DualTimestamp now = DualTimestamp.now();
    this.clock = new JumpTolerantClock(now.monotonicMs(), now.wallMs());
  }

  void start() {
    scheduleWrite();
  }

  /** Returns the time that windows are counted by, in milliseconds since 1970. */
  long wallTimeMs() {
    DualTimestamp now = DualTimestamp.now();
    return clock.millis(now.monotonicMs(), now.wallMs());
  }

  void count(String team, long ageMs) {
    aggregator.count(processKey, Math.floorDiv(wallTimeMs() - ageMs, windowMs), team);
    hasUnwrittenCounts = true;
  }

  /** Writes the counts now, for the end of the process. */
  void flush() {
    if (hasUnwrittenCounts) {
      writeRecord();
    }
  }

  private void scheduleWrite() {
    int records = MAX_TOTAL_RECORDS_PER_WINDOW / Math.max(1, processCount.getAsInt());
    long periodMs = windowMs / Math.max(1, Math.min(MAX_RECORDS_PER_WINDOW, records));
    long waitMs = periodMs - Math.floorMod(wallTimeMs() - SETTLE_MS, periodMs);
    control.schedule(
        waitMs,
        () -> {
          flush();
          scheduleWrite();
        });
  }

  private void writeRecord() {
    hasUnwrittenCounts = false;
    UsageRecord record =
        new UsageRecord(self.vm(), self.boot(), aggregator.recentWindows(processKey));
    byte[] bytes = Codec.json().encode(record);
    control.onResult(
        store
            .appender()
            .append(Topic.USAGE, new StoreRecord("", Optional.of(bytes)), OptionalLong.empty()),
        result -> hasUnwrittenCounts = hasUnwrittenCounts || result.value().isEmpty());
  }
}
