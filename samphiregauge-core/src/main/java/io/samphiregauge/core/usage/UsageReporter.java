package io.samphiregauge.core.usage;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.peer.UsageQuery;
import io.samphiregauge.schema.platform.ReportStatus;
import io.samphiregauge.schema.platform.UsageReport;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.ProcessState;
import io.samphiregauge.schema.record.UsageReportIntent;
import io.samphiregauge.schema.record.UsageReported;
import io.samphiregauge.schema.record.UsageSealed;
import io.samphiregauge.schema.record.WindowState;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Seals and reports usage windows while this process holds the usage lease; immutable. The counters
 * of a window are collected and sealed, and the sealed usage is reported and confirmed. Each step
 * is read back from the log before the next one starts.
 *
 * @param region region of the lease
 * @param self incarnation of this process
 * @param collection collection of the next window, or empty if none is in progress
 * @param sealPending whether a seal was submitted to the log but has not been read back yet
 * @param windows progress of sealed windows, by window number
 * @param token fencing token under which this state is valid, or empty without the lease
 */
public record UsageReporter(
    String region,
    Incarnation self,
    Optional<UsageCollection> collection,
    boolean sealPending,
    Map<Long, WindowProgress> windows,
    OptionalLong token) {

  /** Delay after the end of a window before collection, so that the last counters are copied. */
  public static final long COLLECTION_DELAY_MS = 2_000;

  /** Maximum time to wait for the responses of entries. */
  public static final long COLLECTION_TIMEOUT_MS = 5_000;

  /** Interval between queries to entries that have not responded. */
  public static final long QUERY_RETRY_MS = 1_000;

  /** Delay before a report without a response is sent again. */
  public static final long REPORT_RETRY_MS = 1_000;

  /** Time after the end of a window after which its report counts as late. */
  public static final long LATE_AFTER_MS = 2 * UsageStore.WINDOW_MS;

  /**
   * The progress of reporting a sealed window.
   *
   * @param appendPending whether a record was submitted to the log but has not been read back yet
   * @param reportPending whether a report was sent and its response is awaited
   * @param retryAtMs earliest time of the next report
   */
  record WindowProgress(boolean appendPending, boolean reportPending, long retryAtMs) {}

  /** Makes a defensive copy of the map of windows. */
  public UsageReporter {
    windows = Collections.unmodifiableMap(new TreeMap<>(windows));
  }

  /**
   * Creates the reporter of a process that does not hold the lease.
   *
   * @param region region of the lease
   * @param self incarnation of the process
   * @return the reporter
   */
  public static UsageReporter of(String region, Incarnation self) {
    return new UsageReporter(region, self, Optional.empty(), false, Map.of(), OptionalLong.empty());
  }

  /**
   * Handles an event.
   *
   * @param event the event
   * @param nowMs current monotonic time
   * @return the next reporter and the actions to perform
   */
  public Step<UsageReporter, UsageAction> handle(UsageEvent event, long nowMs) {
    if (event instanceof UsageEvent.Tick tick) {
      UsageReporter next =
          tick.token().equals(token) ? this : of(region, self).withToken(tick.token());
      return tick.token().isPresent() ? next.onTick(tick, nowMs) : Step.to(next);
    }
    if (event instanceof UsageEvent.QueryResponse response) {
      return Step.to(
          with(collection.map(c -> c.withResponse(response.response())), sealPending, windows));
    }
    if (event instanceof UsageEvent.ReadBack read) {
      return Step.to(onReadBack(read.body()));
    }
    if (event instanceof UsageEvent.ReportResponse response) {
      return onReportResponse(response, nowMs);
    }
    long window = ((UsageEvent.ReportOutcomeUnknown) event).window();
    return Step.to(withProgress(window, new WindowProgress(false, false, nowMs + REPORT_RETRY_MS)));
  }

  /**
   * Returns the time at which the reporter needs the next {@link UsageEvent.Tick}.
   *
   * @param state current folded state
   * @param nowMs current monotonic time
   * @param wallMs current wall-clock time, in milliseconds since the epoch
   * @return the monotonic time, or empty if this process does not hold the lease
   */
  public OptionalLong deadlineMs(FoldedState state, long nowMs, long wallMs) {
    if (token.isEmpty()) {
      return OptionalLong.empty();
    }
    long next = Long.MAX_VALUE;
    if (collection.isPresent() && !sealPending) {
      next = Math.min(collection.get().deadlineMs(), collection.get().nextQueryMs());
    }
    if (collection.isEmpty() && !sealPending) {
      next = nowMs + collectAtWallMs(nextWindow(state, wallMs)) - wallMs;
    }
    for (WindowProgress progress : windows.values()) {
      if (!progress.appendPending() && !progress.reportPending()) {
        next = Math.min(next, progress.retryAtMs());
      }
    }
    return OptionalLong.of(next);
  }

  private Step<UsageReporter, UsageAction> onTick(UsageEvent.Tick tick, long nowMs) {
    List<UsageAction> actions = new ArrayList<>();
    UsageReporter next = advanceWindows(tick.state(), nowMs, actions);
    next = next.advanceCollection(tick, nowMs, actions);
    return new Step<>(next, actions);
  }

  private UsageReporter advanceWindows(FoldedState state, long nowMs, List<UsageAction> actions) {
    Map<Long, WindowProgress> next = new TreeMap<>();
    for (WindowState window : state.windows().values()) {
      UsageSealed sealed = window.getSealed();
      if (!sealed.getRegion().equals(region)) {
        continue;
      }
      WindowProgress progress =
          windows.getOrDefault(sealed.getWindow(), new WindowProgress(false, false, nowMs));
      boolean idle = !progress.appendPending() && !progress.reportPending();
      if (idle && !window.isIntended()) {
        actions.add(append(new UsageReportIntent(region, sealed.getWindow(), leaseToken())));
        progress = new WindowProgress(true, false, nowMs);
      } else if (idle && nowMs >= progress.retryAtMs()) {
        actions.add(new UsageAction.Report(leaseToken(), report(window)));
        progress = new WindowProgress(false, true, nowMs);
      }
      next.put(sealed.getWindow(), progress);
    }
    return with(collection, sealPending, next);
  }

  /** Creates the report from the seal alone, so that every retry has the same content. */
  private static UsageReport report(WindowState window) {
    UsageSealed sealed = window.getSealed();
    Figures all = Figures.none().plusAll(sealed.getFigures()).plusAll(sealed.getCorrections());
    return new UsageReport(
        window.getOffset(), sealed.getRegion(), sealed.getWindow(), all.toList());
  }

  private UsageReporter advanceCollection(
      UsageEvent.Tick tick, long nowMs, List<UsageAction> actions) {
    if (sealPending) {
      return this;
    }
    long window = nextWindow(tick.state(), tick.wallMs());
    if (collection.isEmpty()) {
      return tick.wallMs() < collectAtWallMs(window)
          ? this
          : startCollection(window, tick.state(), nowMs, actions);
    }
    UsageCollection current = collection.get();
    if (current.isComplete(nowMs)) {
      actions.add(append(current.seal(tick.state(), leaseToken())));
      return with(Optional.empty(), true, windows);
    }
    if (nowMs < current.nextQueryMs()) {
      return this;
    }
    sendQueries(current, tick.state(), actions);
    return with(Optional.of(current.withNextQuery(nowMs + QUERY_RETRY_MS)), false, windows);
  }

  private UsageReporter startCollection(
      long window, FoldedState state, long nowMs, List<UsageAction> actions) {
    Set<Incarnation> awaited =
        state.processes().values().stream()
            .filter(p -> !p.isEnded() && p.getJoined().getRegion().equals(region))
            .map(ProcessState::getIncarnation)
            .collect(Collectors.toSet());
    UsageCollection started =
        new UsageCollection(
            region,
            window,
            awaited,
            Map.of(),
            nowMs + COLLECTION_TIMEOUT_MS,
            nowMs + QUERY_RETRY_MS);
    sendQueries(started, state, actions);
    return with(Optional.of(started), false, windows);
  }

  /** Queries all awaited processes, including this one. */
  private void sendQueries(UsageCollection current, FoldedState state, List<UsageAction> actions) {
    for (Incarnation process : current.awaited()) {
      state
          .process(process.getVm())
          .map(p -> p.getJoined().getPeerAddress())
          .ifPresent(
              address ->
                  actions.add(new UsageAction.Query(address, new UsageQuery(current.window()))));
    }
  }

  private long nextWindow(FoldedState state, long wallMs) {
    return Optional.ofNullable(state.lastSealedWindows().get(region))
        .map(last -> last + 1)
        .orElse(UsageStore.windowAt(wallMs) - 1);
  }

  private static long collectAtWallMs(long window) {
    return (window + 1) * UsageStore.WINDOW_MS + COLLECTION_DELAY_MS;
  }

  private UsageReporter onReadBack(RecordBody body) {
    if (body instanceof UsageSealed sealed && sealed.getRegion().equals(region)) {
      return with(collection, false, windows);
    }
    if (body instanceof UsageReportIntent intent) {
      return withProgress(intent.getWindow(), new WindowProgress(false, false, Long.MIN_VALUE));
    }
    if (body instanceof UsageReported reported) {
      return withProgress(reported.getWindow(), new WindowProgress(false, false, Long.MIN_VALUE));
    }
    return this;
  }

  private Step<UsageReporter, UsageAction> onReportResponse(
      UsageEvent.ReportResponse event, long nowMs) {
    Optional<WindowProgress> pendingReport =
        Optional.ofNullable(windows.get(event.window())).filter(WindowProgress::reportPending);
    if (pendingReport.isEmpty() || token.isEmpty()) {
      return Step.to(this);
    }
    if (event.status() == ReportStatus.CONFLICT) {
      WindowProgress delayed = new WindowProgress(false, false, nowMs + UsageStore.WINDOW_MS);
      return Step.to(
          withProgress(event.window(), delayed), new UsageAction.Conflict(event.window()));
    }
    long endMs = (event.window() + 1) * UsageStore.WINDOW_MS;
    boolean late = event.wallMs() > endMs + LATE_AFTER_MS;
    return new Step<>(
        withProgress(event.window(), new WindowProgress(true, false, nowMs)),
        List.of(
            new UsageAction.Confirmed(event.window(), late),
            append(new UsageReported(region, event.window(), leaseToken()))));
  }

  private UsageReporter withProgress(long window, WindowProgress next) {
    if (!windows.containsKey(window)) {
      return this;
    }
    Map<Long, WindowProgress> all = new TreeMap<>(windows);
    all.put(window, next);
    return with(collection, sealPending, all);
  }

  private UsageReporter withToken(OptionalLong next) {
    return new UsageReporter(region, self, collection, sealPending, windows, next);
  }

  private UsageReporter with(
      Optional<UsageCollection> nextCollection,
      boolean nextSealPending,
      Map<Long, WindowProgress> nextWindows) {
    return new UsageReporter(region, self, nextCollection, nextSealPending, nextWindows, token);
  }

  private long leaseToken() {
    return token.orElseThrow();
  }

  private static UsageAction append(RecordBody body) {
    return new UsageAction.Append(body);
  }
}
