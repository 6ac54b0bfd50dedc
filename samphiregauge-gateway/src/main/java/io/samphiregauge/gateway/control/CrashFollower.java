package io.samphiregauge.gateway.control;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.Moment;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StorePage;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.Topic;
import io.samphiregauge.schema.gateway.CrashRecord;
import java.lang.System.Logger;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/** Follows the requests whose servers ended, as all entries publish them. */
final class CrashFollower {
  private static final Logger LOG = System.getLogger(CrashFollower.class.getName());

  /** Crashes are rare, so that each read waits long and few are paid for. */
  private static final int WAIT_MS = 10_000;

  private static final long RETRY_MS = 2_000;

  /** A store answers at once where the topic is still empty. */
  private static final long MIN_PERIOD_MS = 1_000;

  /** Entries read less often the more they are, since all reads are paid for. */
  private static final long PERIOD_MS_PER_MEMBER = 25;

  /** Crashes have to be known everywhere within 3 s, the shortest bound of the deployments. */
  private static final long MAX_PERIOD_MS = 2_200;

  private final ControlThread control;
  private final SharedStore store;
  private final IntSupplier members;
  private final Consumer<CrashRecord> taker;
  private long nextOffset;

  CrashFollower(
      ControlThread control, SharedStore store, IntSupplier members, Consumer<CrashRecord> taker) {
    this.control = control;
    this.store = store;
    this.members = members;
    this.taker = taker;
  }

  void start() {
    Moment asked = Moment.now();
    control.take(
        store.tail().read(Topic.CRASHES, nextOffset, WAIT_MS), result -> next(result, asked));
  }

  private void next(Result<StorePage> result, Moment asked) {
    // Where the store is lost, the other followers log it.
    result.fold(
        page -> {
          take(page);
          long periodMs = periodMs(members.getAsInt());
          control.after(Math.max(0, periodMs - Moment.now().since(asked)), this::start);
          return true;
        },
        failure -> {
          control.after(RETRY_MS, this::start);
          return false;
        });
  }

  /** Returns the least time between the starts of two reads, in milliseconds. */
  static long periodMs(int members) {
    long share = members * PERIOD_MS_PER_MEMBER;
    return Math.min(MAX_PERIOD_MS, Math.max(MIN_PERIOD_MS, share));
  }

  private void take(StorePage page) {
    if (page instanceof StorePage.Expired expired) {
      nextOffset = expired.firstOffset();
      return;
    }
    StorePage.Records records = (StorePage.Records) page;
    records.records().stream().flatMap(entry -> decode(entry).stream()).forEach(taker);
    nextOffset = records.nextOffset();
  }

  private static Optional<CrashRecord> decode(StoreRecord entry) {
    return StoredMessages.decode(entry, CrashRecord.class, LOG, "crash_unreadable");
  }
}
