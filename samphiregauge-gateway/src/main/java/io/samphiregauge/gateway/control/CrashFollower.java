package io.samphiregauge.gateway.control;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.port.ReadResult;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.Topic;
import io.samphiregauge.schema.gateway.CrashRecord;
import java.lang.System.Logger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
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

  /** Age of a reader's last contact with the store up to which its records suffice. */
  private static final long MAX_READER_AGE_MS = 3_000;

  /** Maximum number of records that are kept for other entries. */
  private static final int MAX_RECENT = 1_000;

  /** All entries must know of a crash within 3 s, the shortest limit of the deployments. */
  private static final long MAX_PERIOD_MS = 2_200;

  private final ControlThread control;
  private final SharedStore store;
  private final IntSupplier memberCount;
  private final BooleanSupplier queried;
  private final Deque<OffsetRecord> recent = new ArrayDeque<>();
  private Consumer<CrashRecord> crashHandler = crash -> {};
  private long nextOffset;

  /** Time at which the reader that was last heard had contact with the store. */
  private DualTimestamp learnedAsOf = DualTimestamp.NEVER;

  private record OffsetRecord(long offset, CrashRecord crash) {}

  CrashFollower(
      ControlThread control, SharedStore store, IntSupplier memberCount, BooleanSupplier queried) {
    this.control = control;
    this.store = store;
    this.memberCount = memberCount;
    this.queried = queried;
  }

  /**
   * Starts to read the store.
   *
   * @param handler receives each crash record once
   */
  void start(Consumer<CrashRecord> handler) {
    crashHandler = handler;
    poll();
  }

  /** Reads the store, unless a reader has told this entry recently what it has read. */
  private void poll() {
    DualTimestamp requestedAt = DualTimestamp.now();
    if (isReaderRecent(learnedAsOf, requestedAt)) {
      control.schedule(MIN_PERIOD_MS, this::poll);
      return;
    }
    control.onResult(
        store.tailReader().read(Topic.CRASHES, nextOffset, WAIT_MS),
        result -> onRead(result, requestedAt));
  }

  /**
   * Returns whether the records of a reader suffice, so that the store need not be read.
   *
   * @param readerAsOf time at which the reader had contact with the store
   * @param now current time
   */
  static boolean isReaderRecent(DualTimestamp readerAsOf, DualTimestamp now) {
    return now.millisSince(readerAsOf) < MAX_READER_AGE_MS;
  }

  private void onRead(Result<ReadResult> result, DualTimestamp requestedAt) {
    // Failures are not logged here: the other followers log that the store is unavailable.
    result.fold(
        page -> {
          handlePage(page);
          long periodMs =
              queried.getAsBoolean() ? MIN_PERIOD_MS : pollPeriodMs(memberCount.getAsInt());
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
    long offset = records.nextOffset() - records.records().size();
    for (StoreRecord record : records.records()) {
      long recordOffset = offset++;
      decode(record).ifPresent(crash -> handleCrash(recordOffset, crash));
    }
    nextOffset = Math.max(nextOffset, records.nextOffset());
  }

  private void handleCrash(long offset, CrashRecord crash) {
    if (offset < nextOffset) {
      return;
    }
    ControlThread.runAndLogFailure(() -> crashHandler.accept(crash));
    recent.addLast(new OffsetRecord(offset, crash));
    if (recent.size() > MAX_RECENT) {
      recent.removeFirst();
    }
  }

  /** Returns the offset in the store of the next record that this entry needs. */
  long nextOffset() {
    return nextOffset;
  }

  /**
   * Returns the records that another entry needs.
   *
   * @param offset offset in the store of the next record that it needs
   * @return the later records, in order
   */
  List<CrashRecord> recordsFrom(long offset) {
    return recent.stream()
        .filter(record -> record.offset() >= offset)
        .map(OffsetRecord::crash)
        .toList();
  }

  /**
   * Applies the records that a reader has read.
   *
   * @param crashes the records from {@link #nextOffset} on
   * @param readerOffset offset after the last record that the reader has read
   * @param asOf time at which the reader had contact with the store
   */
  void learn(List<CrashRecord> crashes, long readerOffset, DualTimestamp asOf) {
    if (readerOffset < nextOffset) {
      return;
    }
    long firstOffset = readerOffset - crashes.size();
    for (int i = 0; i < crashes.size(); i++) {
      handleCrash(Math.max(nextOffset, firstOffset + i), crashes.get(i));
    }
    nextOffset = readerOffset;
    learnedAsOf = asOf;
  }

  private static Optional<CrashRecord> decode(StoreRecord record) {
    return RecordDecoder.decode(record, CrashRecord.class, LOG, "crash_unreadable");
  }
}
