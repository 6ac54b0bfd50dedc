package io.samphiregauge.gateway.control;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.StorePosition;
import io.samphiregauge.core.duty.DutyLease;
import io.samphiregauge.core.duty.SealTiming;
import io.samphiregauge.core.duty.UsageAggregator;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.gateway.port.AppendResult;
import io.samphiregauge.gateway.port.FleetApi;
import io.samphiregauge.gateway.port.ReadResult;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.Topic;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.gateway.DutyRecord;
import io.samphiregauge.schema.gateway.SealedUsage;
import io.samphiregauge.schema.gateway.UsageRecord;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * Claims and renews the duty lease. While holding it, seals and reports usage windows and lets
 * {@link FleetOrders} send orders. Runs on the control thread.
 */
final class DutyWorker {
  private static final Logger LOG = System.getLogger(DutyWorker.class.getName());
  private static final String LEASE_KEY = "duty";

  /**
   * Interval between two renewals by the holder, and between two reads of the lease record by the
   * entry of rank 0.
   */
  private static final long POLL_PERIOD_MS = 1_200;

  /** Added to the read interval for each rank above 0, because each read is charged. */
  private static final long POLL_DELAY_PER_RANK_MS = 700;

  /**
   * Rank from which on the read interval grows with the square of the rank. The group drops members
   * that have lost the store, so that those of lower rank are there to claim the lease.
   */
  private static final int SPARSE_RANK = 8;

  /** Longest interval between two reads of the lease record. */
  private static final long MAX_POLL_PERIOD_MS = 60_000;

  /** Time before the end of the lease at which the holder stops acting. */
  private static final long LEASE_MARGIN_MS = 700;

  /**
   * Time by which the lease is longer than the time within which two holders must not act
   * alternately.
   */
  private static final long LEASE_EXTRA_MS = 500;

  /**
   * Time from the end of a window until it is sealed. By then the first records of the next window
   * are in the store, which are needed to know that the counts are complete.
   */
  private static final long SEAL_DELAY_MS = 1_700;

  /** Maximum number of sealed windows in the lease record. */
  private static final int MAX_SEALED_WINDOWS = 3;

  /** Windows by which the clock of another process may be ahead; clocks differ by seconds. */
  private static final int MAX_WINDOWS_AHEAD = 3;

  private final ControlThread control;
  private final SharedStore store;
  private final FleetApi fleet;
  private final GroupMember self;
  private final GroupFollower group;
  private final UsageRecorder usageRecorder;
  private final FleetOrders fleetOrders;
  private final DutyTiming timing;
  private final Supplier<DualTimestamp> clock;
  private final DutyLease lease;
  private final UsageAggregator aggregator = new UsageAggregator();
  private final SealTiming sealTiming;

  /** The span in which this entry may act; also read by the threads that send calls. */
  private final AtomicReference<Optional<DutyLease.Tenure>> tenure =
      new AtomicReference<>(Optional.empty());

  private long usageOffset;
  private long lastReportedWindow;
  private boolean writePending;
  private boolean reportPending;
  private boolean wasHolder;
  private boolean lostByRestore;
  private long storeEra = StorePosition.FIRST_ERA;
  private volatile boolean stopped;
  private long lastTickNumber;
  private long nextTickAtMs;

  /**
   * Time limits of the duties, in milliseconds.
   *
   * @param leaseMs time within which two holders must not act alternately
   * @param windowMs length of a usage window
   * @param reportDueMs time from the end of a window to the due time of its report
   */
  record DutyTiming(long leaseMs, long windowMs, long reportDueMs) {}

  DutyWorker(
      ControlThread control,
      SharedStore store,
      FleetApi fleet,
      GroupFollower group,
      UsageRecorder usageRecorder,
      FleetOrders fleetOrders,
      GroupMember self,
      DutyTiming timing,
      Supplier<DualTimestamp> clock) {
    this.control = control;
    this.store = store;
    this.fleet = fleet;
    this.self = self;
    this.group = group;
    this.usageRecorder = usageRecorder;
    this.fleetOrders = fleetOrders;
    this.timing = timing;
    this.clock = clock;
    this.sealTiming = new SealTiming(timing.reportDueMs());
    this.lease =
        new DutyLease(
            self.vm(), self.startMs(), timing.leaseMs() + LEASE_EXTRA_MS, LEASE_MARGIN_MS);
  }

  void start() {
    // Rank 0 claims the lease first; the other entries are delayed to avoid conflicting writes.
    scheduleTick((long) group.rank() * POLL_DELAY_PER_RANK_MS);
  }

  void stop() {
    stopped = true;
  }

  /**
   * Handles the era of the store in the result of a read or an append. A holder stops to act at
   * once, because the register may not hold its record any more.
   *
   * @param era era of the store
   */
  void onStoreEra(long era) {
    if (era <= storeEra) {
      return;
    }
    storeEra = era;
    lease.onEra(era);
    tenure.set(lease.tenure());
    // Usage records that were not read yet may now be before the offset that was reached.
    usageOffset = 0;
    lostByRestore = true;
    logHolderChange(lease.isHeld(clock.get()));
  }

  /** Reads the lease earlier if this entry has moved up, because entries before it have gone. */
  void onMembersChanged() {
    long delayMs = pollPeriodMs(group.rank());
    if (!stopped && lastTickNumber > 0 && clock.get().monotonicMs() + delayMs < nextTickAtMs) {
      scheduleTick(delayMs);
    }
  }

  /** Schedules the next tick, which replaces one that was scheduled before. */
  private void scheduleTick(long delayMs) {
    nextTickAtMs = clock.get().monotonicMs() + delayMs;
    long number = ++lastTickNumber;
    control.schedule(
        delayMs,
        () -> {
          if (number == lastTickNumber) {
            tick();
          }
        });
  }

  private void tick() {
    if (stopped) {
      return;
    }
    boolean holder = lease.isHeld(clock.get());
    logHolderChange(holder);
    scheduleTick(holder ? POLL_PERIOD_MS : pollPeriodMs(group.rank()));
    if (holder) {
      performDuties();
    } else {
      readLease();
    }
  }

  /**
   * Returns the time between two reads of the lease record by an entry that does not hold it.
   *
   * @param rank index of the entry among the members
   * @return the time in milliseconds
   */
  static long pollPeriodMs(int rank) {
    long linearMs = rank * POLL_DELAY_PER_RANK_MS * Math.max(SPARSE_RANK, rank) / SPARSE_RANK;
    return Math.min(MAX_POLL_PERIOD_MS, POLL_PERIOD_MS + linearMs);
  }

  private void logHolderChange(boolean holder) {
    if (holder == wasHolder) {
      return;
    }
    wasHolder = holder;
    String token = Long.toString(lease.token());
    String holderName = lease.latest().map(DutyRecord::getHolder).orElse("-");
    if (holder) {
      LOG.log(
          Level.INFO, "event=lease_acquired lease=duty token={0} holder={1}", token, holderName);
      lostByRestore = false;
    } else {
      LOG.log(
          Level.INFO,
          "event=lease_lost lease=duty token={0} holder={1} cause={2}",
          token,
          holderName,
          lossCause());
    }
  }

  private String lossCause() {
    DualTimestamp now = clock.get();
    return lease
        .tenure()
        .map(span -> span.clocksAgree(now) ? "expired" : "clocks_disagree")
        .orElse(lostByRestore ? "store_restored" : "superseded");
  }

  private void readLease() {
    control.onResult(store.snapshotReader().read(Topic.DUTY), this::onLeaseRead);
  }

  private void onLeaseRead(Result<ReadResult.Records> result) {
    recordStoreCall(result);
    result
        .failure()
        .ifPresent(
            failure -> LOG.log(Level.WARNING, "event=duty_read_failed " + failure.message()));
    result
        .value()
        .ifPresent(
            records -> {
              lease.onRead(findLeaseRecord(records), records.position(), clock.get());
              tenure.set(lease.tenure());
              // The answer to a write that is pending may still grant the lease.
              if (!stopped && !writePending) {
                lease
                    .prepareClaim(clock.get(), newestSealableWindow())
                    .ifPresent(write -> writeLease(write, this::onClaimed));
              }
            });
  }

  private static Optional<DutyRecord> findLeaseRecord(ReadResult.Records records) {
    return records.records().stream()
        .filter(record -> record.key().equals(LEASE_KEY))
        .flatMap(
            record ->
                RecordDecoder.decode(record, DutyRecord.class, LOG, "duty_unreadable").stream())
        .findFirst();
  }

  private void onClaimed() {
    logHolderChange(true);
    // The tick that was scheduled before the claim may come after the lease has ended.
    scheduleTick(POLL_PERIOD_MS);
    performDuties();
  }

  private void writeLease(DutyLease.Write write, Runnable onAccepted) {
    writePending = true;
    StoreRecord record =
        new StoreRecord(LEASE_KEY, Optional.of(Codec.json().encode(write.value())));
    control.onResult(
        store.appender().append(Topic.DUTY, record, OptionalLong.of(write.expected().endOffset())),
        result -> {
          writePending = false;
          recordStoreCall(result);
          result.fold(
              appended -> onLeaseWritten(write, appended, onAccepted),
              failure -> {
                LOG.log(
                    Level.WARNING, "event=duty_write_failed lease=duty cause=" + failure.type());
                readLease();
                return false;
              });
        });
  }

  private boolean onLeaseWritten(DutyLease.Write write, AppendResult result, Runnable onAccepted) {
    if (result instanceof AppendResult.Appended appended) {
      lease.onWriteAccepted(write, appended.position());
      tenure.set(lease.tenure());
      // The answer may have come after the end of the lease that it grants.
      if (lease.isHeld(clock.get())) {
        onAccepted.run();
        return true;
      }
    }
    readLease();
    return false;
  }

  /** Reports sealed windows, sends a due order, seals windows that are due, renews the lease. */
  private void performDuties() {
    reportNextWindow();
    fleetOrders.sendNextOrder(credentials());
    if (writePending) {
      return;
    }
    long sealableWindow = newestSealableWindow();
    DutyRecord current = lease.latest().orElseThrow();
    if (lastSealedWindow(current) < sealableWindow) {
      readUsage(() -> renewLease(sealableWindow));
    } else {
      renewLease(lastSealedWindow(current));
    }
  }

  private long newestSealableWindow() {
    return Math.floorDiv(usageRecorder.wallTimeMs() - SEAL_DELAY_MS, timing.windowMs()) - 1;
  }

  private static long lastSealedWindow(DutyRecord current) {
    List<SealedUsage> sealed = current.getSealed();
    return sealed.isEmpty()
        ? current.getReportedWindow()
        : sealed.get(sealed.size() - 1).getWindow();
  }

  private void renewLease(long sealUpTo) {
    if (writePending) {
      return;
    }
    lease
        .prepareRenewal(nextRecord(lease.latest().orElseThrow(), sealUpTo), clock.get())
        .ifPresent(write -> writeLease(write, this::reportNextWindow));
  }

  private DutyRecord nextRecord(DutyRecord current, long sealUpTo) {
    List<SealedUsage> sealed = new ArrayList<>(current.getSealed());
    long firstOwnWindow = Math.floorDiv(self.startMs(), timing.windowMs());
    long first = Math.max(lastSealedWindow(current) + 1, sealUpTo - MAX_SEALED_WINDOWS + 1);
    if (current.getSealed().isEmpty()) {
      // There was no traffic before the first entry started.
      first = Math.max(first, firstOwnWindow);
    }
    for (long window = first; window <= sealUpTo && isSealable(window); window++) {
      sealed.add(aggregator.total(window));
    }
    while (sealed.size() > MAX_SEALED_WINDOWS) {
      sealed.remove(0);
    }
    return new DutyRecord(
        current.getHolder(),
        current.getBoot(),
        current.getToken(),
        current.getTick() + 1,
        sealed,
        Math.max(current.getReportedWindow(), lastReportedWindow),
        current.getEra().orElse(null));
  }

  private boolean isSealable(long window) {
    long sinceEndMs = usageRecorder.wallTimeMs() - (window + 1) * timing.windowMs();
    return sealTiming.maySeal(aggregator.isComplete(window), sinceEndMs, clock.get().monotonicMs());
  }

  private void recordStoreCall(Result<?> result) {
    sealTiming.recordCall(result.value().isPresent(), clock.get().monotonicMs());
  }

  /** Reads the usage records that were appended by any process since the last read. */
  private void readUsage(Runnable onComplete) {
    control.onResult(
        store.tailReader().read(Topic.USAGE, usageOffset, 0),
        result -> {
          recordStoreCall(result);
          result
              .value()
              .ifPresentOrElse(
                  page -> onUsageRead(page, onComplete), () -> renewLease(currentSealedWindow()));
        });
  }

  private long currentSealedWindow() {
    return lease.latest().map(DutyWorker::lastSealedWindow).orElse(0L);
  }

  private void onUsageRead(ReadResult page, Runnable onComplete) {
    if (page.era() < storeEra) {
      readUsage(onComplete);
      return;
    }
    if (page instanceof ReadResult.Expired expired) {
      usageOffset = expired.firstOffset();
      readUsage(onComplete);
      return;
    }
    ReadResult.Records records = (ReadResult.Records) page;
    boolean mayHaveMore = !records.records().isEmpty();
    usageOffset = records.nextOffset();
    long newestWindow =
        Math.floorDiv(usageRecorder.wallTimeMs(), timing.windowMs()) + MAX_WINDOWS_AHEAD;
    for (StoreRecord record : records.records()) {
      RecordDecoder.decode(record, UsageRecord.class, LOG, "usage_unreadable")
          .ifPresent(
              usage -> ControlThread.runAndLogFailure(() -> aggregator.merge(usage, newestWindow)));
    }
    if (mayHaveMore) {
      readUsage(onComplete);
    } else {
      onComplete.run();
    }
  }

  /**
   * Reports the oldest sealed window that has not been reported. The counts are reported as they
   * were sealed, even if an earlier holder sealed them.
   */
  private void reportNextWindow() {
    Optional<DutyRecord> current = lease.latest();
    if (reportPending || current.isEmpty() || !lease.isHeld(clock.get())) {
      return;
    }
    long reported = Math.max(lastReportedWindow, current.orElseThrow().getReportedWindow());
    Optional<SealedUsage> due =
        current.orElseThrow().getSealed().stream()
            .filter(usage -> usage.getWindow() > reported)
            .findFirst();
    due.ifPresent(this::sendReport);
  }

  private void sendReport(SealedUsage usage) {
    reportPending = true;
    control.onResult(
        fleet.usageReporter().report(usage, credentials()),
        result -> {
          reportPending = false;
          LOG.log(
              Level.INFO,
              "event=usage_reported window={0} ok={1} token={2} counts={3}",
              Long.toString(usage.getWindow()),
              result.fold(ok -> "true", failure -> failure.type()),
              Long.toString(lease.token()),
              usage.getCounts());
          if (result.value().isPresent()) {
            lastReportedWindow = Math.max(lastReportedWindow, usage.getWindow());
            reportNextWindow();
          }
        });
  }

  private FleetApi.LeaseCredentials credentials() {
    long token = lease.token();
    return new FleetApi.LeaseCredentials(self.vm(), token, () -> remainingMs(token));
  }

  /** Returns the time for which this entry may act with a token. Thread-safe. */
  private long remainingMs(long token) {
    return stopped
        ? 0
        : tenure
            .get()
            .filter(span -> span.token() == token)
            .map(span -> span.remainingMs(clock.get()))
            .orElse(0L);
  }
}
