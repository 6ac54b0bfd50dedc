package io.samphiregauge.gateway.control;

import io.samphiregauge.core.duty.JumpTolerantClock;
import io.samphiregauge.core.duty.UsageAggregator;
import io.samphiregauge.gateway.Member;
import io.samphiregauge.gateway.Moment;
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
final class UsageCounter {
  /** Most records of a process in each window; a killed process loses what came after the last. */
  private static final int MAX_RECORDS_PER_WINDOW = 4;

  /** Records of all processes in each window; with more processes, each one's loss weighs less. */
  private static final int RECORDS_OF_ALL = 28;

  /** Time after a window's end until its last requests are counted. */
  private static final long SETTLE_MS = 250;

  private final ControlThread control;
  private final SharedStore store;
  private final Member self;
  private final long windowMs;
  private final IntSupplier processes;
  private final UsageAggregator.ProcessKey process;
  private final JumpTolerantClock time;
  private final UsageAggregator tally = new UsageAggregator();
  private boolean unwritten;

  UsageCounter(
      ControlThread control, SharedStore store, Member self, long windowMs, IntSupplier processes) {
    this.processes = processes;
    this.control = control;
    this.store = store;
    this.self = self;
    this.process = new UsageAggregator.ProcessKey(self.vm(), self.boot());
    this.windowMs = windowMs;
    Moment now = Moment.now();
    this.time = new JumpTolerantClock(now.monotonicMs(), now.wallMs());
  }

  void start() {
    scheduleWrite();
  }

  /** Returns the time that windows are counted by, in milliseconds since 1970. */
  long millis() {
    Moment now = Moment.now();
    return time.millis(now.monotonicMs(), now.wallMs());
  }

  void count(String team, long beganAgoMs) {
    tally.count(process, Math.floorDiv(millis() - beganAgoMs, windowMs), team);
    unwritten = true;
  }

  /** Writes the counts now, for the end of the process. */
  void flush() {
    if (unwritten) {
      write();
    }
  }

  private void scheduleWrite() {
    int records = RECORDS_OF_ALL / Math.max(1, processes.getAsInt());
    long period = windowMs / Math.max(1, Math.min(MAX_RECORDS_PER_WINDOW, records));
    long waitMs = period - Math.floorMod(millis() - SETTLE_MS, period);
    control.after(
        waitMs,
        () -> {
          flush();
          scheduleWrite();
        });
  }

  private void write() {
    unwritten = false;
    UsageRecord entry = new UsageRecord(self.vm(), self.boot(), tally.recentWindows(process));
    byte[] bytes = Codec.json().encode(entry);
    control.take(
        store
            .append()
            .append(Topic.USAGE, new StoreRecord("", Optional.of(bytes)), OptionalLong.empty()),
        result -> unwritten = unwritten || result.value().isEmpty());
  }
}
