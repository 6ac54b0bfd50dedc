package io.samphiregauge.gateway.control;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.gateway.port.ReadResult;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.Topic;
import io.samphiregauge.schema.gateway.CrashRecord;
import java.lang.System.Logger;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * Reads the crash records of all entries: requests whose backend server terminated while running
 * them. Runs on the control thread.
 */
final class CrashFollower {
  private static final Logger LOG = System.getLogger(CrashFollower.class.getName());

  /** Long-poll time of a read. Crashes are rare, so long polls keep the charged reads few. */
  private static final int WAIT_MS = 10_000;

  private static final long RETRY_MS = 2_000;

  /** Limits the rate of reads while the topic is empty, when the store responds without waiting. */
  private static final long MIN_PERIOD_MS = 1_000;

  /** The interval grows with the number of entries, since the reads of all entries are charged. */
  private static final long PERIOD_MS_PER_MEMBER = 25;

  /** All entries must know of a crash within 3 s, the shortest limit of the deployments. */
  private static final long MAX_PERIOD_MS = 2_200;

  private final ControlThread control;
  private final SharedStore store;
  private final IntSupplier memberCount;
  private final Consumer<CrashRecord> crashHandler;
  private long nextOffset;

  CrashFollower(
      ControlThread control,
      SharedStore store,
      IntSupplier memberCount,
      Consumer<CrashRecord> crashHandler) {
    this.control = control;
    this.store = store;
    this.memberCount = memberCount;
    this.crashHandler = crashHandler;
  }

  void poll() {
    DualTimestamp requestedAt = DualTimestamp.now();
    control.onResult(
        store.tailReader().read(Topic.CRASHES, nextOffset, WAIT_MS),
        result -> onRead(result, requestedAt));
  }

  private void onRead(Result<ReadResult> result, DualTimestamp requestedAt) {
    // Failures are not logged here: the other followers log that the store is unavailable.
    result.fold(
        page -> {
          handlePage(page);
          long periodMs = pollPeriodMs(memberCount.getAsInt());
          control.schedule(
              Math.max(0, periodMs - DualTimestamp.now().millisSince(requestedAt)), this::poll);
          return true;
        },
        failure -> {
          control.schedule(RETRY_MS, this::poll);
          return false;
        });
  }

  /**
   * Returns the minimum time between the starts of two reads.
   *
   * @param memberCount number of entries in the group
   * @return the time in milliseconds
   */
  static long pollPeriodMs(int memberCount) {
    long scaledMs = memberCount * PERIOD_MS_PER_MEMBER;
    return Math.min(MAX_PERIOD_MS, Math.max(MIN_PERIOD_MS, scaledMs));
  }

  private void handlePage(ReadResult page) {
    if (page instanceof ReadResult.Expired expired) {
      nextOffset = expired.firstOffset();
      return;
    }
    ReadResult.Records records = (ReadResult.Records) page;
    records.records().stream().flatMap(record -> decode(record).stream()).forEach(crashHandler);
    nextOffset = records.nextOffset();
  }

  private static Optional<CrashRecord> decode(StoreRecord record) {
    return RecordDecoder.decode(record, CrashRecord.class, LOG, "crash_unreadable");
  }
}
