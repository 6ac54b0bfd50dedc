package io.samphiregauge.gateway.control;

import io.samphiregauge.core.duty.DutyLease;
import io.samphiregauge.core.duty.UsageAggregator;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.Member;
import io.samphiregauge.gateway.Moment;
import io.samphiregauge.gateway.port.AppendResult;
import io.samphiregauge.gateway.port.FleetApi;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StorePage;
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
import java.util.concurrent.atomic.AtomicLong;

/**
 * Holds the duty lease when it can get it, and reports usage while it does. Runs on the control
 * thread.
 */
final class DutyWorker {
  private static final Logger LOG = System.getLogger(DutyWorker.class.getName());
  private static final String REGISTER_KEY = "duty";

  /** Time between two renewals, and between two looks at the register by the first successor. */
  private static final long RENEW_MS = 1_200;

  /** Further entries look at the register less often; each look is paid for. */
  private static final long LATER_RANK_MS = 700;

  private static final int MAX_RANK_STEPS = 40;
  private static final long LEASE_MARGIN_MS = 700;

  /** The lease is longer than the time in which two holders must not act by turns. */
  private static final long LEASE_EXTRA_MS = 500;

  /** Time after a window's end until the first records of the next window are in the store. */
  private static final long SEAL_AFTER_MS = 1_700;

  /** Part of the time until a report is due in which missing records are waited for. */
  private static final double WAIT_SHARE = 0.7;

  private static final int KEPT_SEALED = 3;

  private final ControlThread control;
  private final SharedStore store;
  private final FleetApi fleet;
  private final Member self;
  private final GroupFollower group;
  private final UsageCounter counter;
  private final FleetOrders orders;
  private final DutyTimes times;
  private final DutyLease register;
  private final UsageAggregator tally = new UsageAggregator();

  /** Read by traffic threads right before a call is written, to withhold it after the lease. */
  private final AtomicLong heldUntilMs = new AtomicLong(Long.MIN_VALUE);

  private long usageOffset;
  private long reportedWindow;
  private boolean writing;
  private boolean reporting;
  private boolean wasHolder;
  private boolean stopped;

  /**
   * Bounds of the duties.
   *
   * @param leaseMs time for which two holders must not act by turns
   * @param windowMs length of a usage window
   * @param lateMs time from the end of a window to the due time of its report
   */
  record DutyTimes(long leaseMs, long windowMs, long lateMs) {}

  DutyWorker(
      ControlThread control,
      SharedStore store,
      FleetApi fleet,
      GroupFollower group,
      UsageCounter counter,
      FleetOrders orders,
      Member self,
      DutyTimes times) {
    this.control = control;
    this.store = store;
    this.fleet = fleet;
    this.self = self;
    this.group = group;
    this.counter = counter;
    this.orders = orders;
    this.times = times;
    this.register =
        new DutyLease(self.vm(), self.boot(), times.leaseMs() + LEASE_EXTRA_MS, LEASE_MARGIN_MS);
  }

  void start() {
    // The first entry claims at once; the others give it time, so that few writes conflict.
    control.after((long) group.rank() * LATER_RANK_MS, this::tick);
  }

  void stop() {
    stopped = true;
  }

  private void tick() {
    if (stopped) {
      return;
    }
    boolean holder = register.isHeld(Moment.nowMs());
    logHolder(holder);
    int rank = Math.min(MAX_RANK_STEPS, group.rank());
    control.after(holder ? RENEW_MS : RENEW_MS + rank * LATER_RANK_MS, this::tick);
    if (holder) {
      work();
    } else {
      look();
    }
  }

  private void logHolder(boolean holder) {
    if (holder != wasHolder) {
      wasHolder = holder;
      LOG.log(
          Level.INFO,
          "event={0} lease=duty token={1} holder={2}",
          holder ? "lease_acquired" : "lease_lost",
          Long.toString(register.token()),
          register.latest().map(DutyRecord::getHolder).orElse("-"));
    }
  }

  private void look() {
    control.take(store.newest().read(Topic.DUTY), this::seen);
  }

  private void seen(Result<StorePage.Records> result) {
    result
        .failure()
        .ifPresent(
            failure -> LOG.log(Level.WARNING, "event=duty_read_failed " + failure.message()));
    result
        .value()
        .ifPresent(
            page -> {
              register.onRead(current(page), page.nextOffset(), Moment.nowMs());
              if (!stopped) {
                register
                    .prepareClaim(Moment.nowMs())
                    .ifPresent(write -> write(write, this::takeOver));
              }
            });
  }

  private static Optional<DutyRecord> current(StorePage.Records page) {
    return page.records().stream()
        .filter(entry -> entry.key().equals(REGISTER_KEY))
        .flatMap(
            entry ->
                StoredMessages.decode(entry, DutyRecord.class, LOG, "duty_unreadable").stream())
        .findFirst();
  }

  private void takeOver() {
    logHolder(true);
    work();
  }

  private void write(DutyLease.Write write, Runnable next) {
    writing = true;
    StoreRecord entry =
        new StoreRecord(REGISTER_KEY, Optional.of(Codec.json().encode(write.value())));
    control.take(
        store.append().append(Topic.DUTY, entry, OptionalLong.of(write.expectedEndOffset())),
        result -> {
          writing = false;
          result.fold(
              appended -> written(write, appended, next),
              failure -> {
                LOG.log(
                    Level.WARNING, "event=duty_write_failed lease=duty cause=" + failure.type());
                look();
                return false;
              });
        });
  }

  private boolean written(DutyLease.Write write, AppendResult result, Runnable next) {
    if (result instanceof AppendResult.Appended appended) {
      register.onWriteAccepted(write, appended.endOffset());
      heldUntilMs.set(register.isHeld(Moment.nowMs()) ? register.heldUntilMs() : Long.MIN_VALUE);
      next.run();
      return true;
    }
    look();
    return false;
  }

  /** Renews the lease, seals windows whose time has come, and reports those that are sealed. */
  private void work() {
    report();
    orders.work(authority());
    if (writing) {
      return;
    }
    long sealable = sealableWindow();
    DutyRecord value = register.latest().orElseThrow();
    if (lastSealed(value) < sealable) {
      collect(() -> renew(sealable));
    } else {
      renew(lastSealed(value));
    }
  }

  private long sealableWindow() {
    return Math.floorDiv(counter.millis() - SEAL_AFTER_MS, times.windowMs()) - 1;
  }

  private static long lastSealed(DutyRecord value) {
    List<SealedUsage> sealed = value.getSealed();
    return sealed.isEmpty() ? value.getReportedWindow() : sealed.get(sealed.size() - 1).getWindow();
  }

  private void renew(long sealUpTo) {
    if (writing) {
      return;
    }
    register
        .prepareRenewal(next(register.latest().orElseThrow(), sealUpTo), Moment.nowMs())
        .ifPresent(write -> write(write, this::report));
  }

  private DutyRecord next(DutyRecord value, long sealUpTo) {
    List<SealedUsage> sealed = new ArrayList<>(value.getSealed());
    long firstOfProcess = Math.floorDiv(self.boot(), times.windowMs());
    long first = Math.max(lastSealed(value) + 1, sealUpTo - KEPT_SEALED + 1);
    if (value.getSealed().isEmpty()) {
      // Before the first entry started, there was no traffic to report.
      first = Math.max(first, firstOfProcess);
    }
    for (long window = first; window <= sealUpTo && mayBeSealed(window); window++) {
      sealed.add(tally.total(window));
    }
    while (sealed.size() > KEPT_SEALED) {
      sealed.remove(0);
    }
    return new DutyRecord(
        value.getHolder(),
        value.getBoot(),
        value.getToken(),
        value.getTick() + 1,
        sealed,
        Math.max(value.getReportedWindow(), reportedWindow));
  }

  /** A window waits for entries that cannot reach the store, as long as its report is not late. */
  private boolean mayBeSealed(long window) {
    long endedAgoMs = counter.millis() - (window + 1) * times.windowMs();
    return tally.isComplete(window) || endedAgoMs >= times.lateMs() * WAIT_SHARE;
  }

  /** Reads the records of all processes that came since the last time. */
  private void collect(Runnable next) {
    control.take(
        store.tail().read(Topic.USAGE, usageOffset, 0),
        result ->
            result.value().ifPresentOrElse(page -> collected(page, next), () -> renew(sealed())));
  }

  private long sealed() {
    return register.latest().map(DutyWorker::lastSealed).orElse(0L);
  }

  private void collected(StorePage page, Runnable next) {
    if (page instanceof StorePage.Expired expired) {
      usageOffset = expired.firstOffset();
      collect(next);
      return;
    }
    StorePage.Records records = (StorePage.Records) page;
    boolean more = !records.records().isEmpty();
    usageOffset = records.nextOffset();
    for (StoreRecord entry : records.records()) {
      StoredMessages.decode(entry, UsageRecord.class, LOG, "usage_unreadable")
          .ifPresent(tally::merge);
    }
    if (more) {
      collect(next);
    } else {
      next.run();
    }
  }

  /** Reports the oldest sealed window that is not reported yet, unchanged by whoever sealed it. */
  private void report() {
    Optional<DutyRecord> value = register.latest();
    if (reporting || value.isEmpty() || !register.isHeld(Moment.nowMs())) {
      return;
    }
    long done = Math.max(reportedWindow, value.orElseThrow().getReportedWindow());
    Optional<SealedUsage> due =
        value.orElseThrow().getSealed().stream()
            .filter(usage -> usage.getWindow() > done)
            .findFirst();
    due.ifPresent(this::report);
  }

  private void report(SealedUsage usage) {
    reporting = true;
    control.take(
        fleet.reportUsage().report(usage, authority()),
        result -> {
          reporting = false;
          LOG.log(
              Level.INFO,
              "event=usage_reported window={0} ok={1} token={2} counts={3}",
              Long.toString(usage.getWindow()),
              result.fold(ok -> "true", failure -> failure.type()),
              Long.toString(register.token()),
              usage.getCounts());
          if (result.value().isPresent()) {
            reportedWindow = Math.max(reportedWindow, usage.getWindow());
            report();
          }
        });
  }

  private FleetApi.Authority authority() {
    return new FleetApi.Authority(
        self.vm(), register.token(), () -> !stopped && Moment.nowMs() < heldUntilMs.get());
  }
}
