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
 * Seals and reports usage windows under the usage lease; immutable. A window is collected, sealed,
 * reported and confirmed; each step is read back in the log before the next one starts.
 *
 * @param region region of the lease
 * @param self the process
 * @param collection window that is being collected, or empty
 * @param sealing whether a seal is on its way into the log
 * @param windows progress of sealed windows
 * @param token token under which all this holds, or empty
 */
public record UsageReporter(
    String region,
    Incarnation self,
    Optional<Collection> collection,
    boolean sealing,
    Map<Long, Progress> windows,
    OptionalLong token) {

  /** Time after the end of a window in which its last counters reach the entries' copies. */
  public static final long SETTLE_MS = 2_000;

  /** Longest wait for the answers of entries. */
  public static final long COLLECT_MS = 5_000;

  /** Time between questions to entries that have not answered. */
  public static final long ASK_AGAIN_MS = 1_000;

  /** Time between the repeats of a report. */
  public static final long REPEAT_MS = 1_000;

  /** Time after the end of its window from which on a report counts as late. */
  public static final long LATE_MS = 2 * UsageLedger.WINDOW_MS;

  /**
   * What was done for a sealed window.
   *
   * @param writing whether a record is on its way
   * @param calling whether an answer of the platform is awaited
   * @param repeatAtMs earliest time of the next report
   */
  record Progress(boolean writing, boolean calling, long repeatAtMs) {}

  /** Copies the progress. */
  public UsageReporter {
    windows = Collections.unmodifiableMap(new TreeMap<>(windows));
  }

  /**
   * Makes the reporter of a process that holds no lease.
   *
   * @param region region of the lease
   * @param self the process
   * @return the reporter
   */
  public static UsageReporter of(String region, Incarnation self) {
    return new UsageReporter(region, self, Optional.empty(), false, Map.of(), OptionalLong.empty());
  }

  /**
   * Takes an event.
   *
   * @param event the event
   * @param nowMs current time
   * @return the next reporter, and what to do
   */
  public Step<UsageReporter, UsageAction> on(UsageEvent event, long nowMs) {
    if (event instanceof UsageEvent.Tick tick) {
      UsageReporter next = tick.token().equals(token) ? this : of(region, self).under(tick.token());
      return tick.token().isPresent() ? next.act(tick, nowMs) : Step.to(next);
    }
    if (event instanceof UsageEvent.Collected collected) {
      return Step.to(with(collection.map(c -> c.with(collected.answer())), sealing, windows));
    }
    if (event instanceof UsageEvent.ReadBack read) {
      return Step.to(readBack(read.body()));
    }
    if (event instanceof UsageEvent.Answered answered) {
      return answered(answered, nowMs);
    }
    long window = ((UsageEvent.Unanswered) event).window();
    return Step.to(progress(window, new Progress(false, false, nowMs + REPEAT_MS)));
  }

  /**
   * Tells when the reporter next needs a tick.
   *
   * @param state folded state
   * @param nowMs current time
   * @param wallMs time of day at the current time
   * @return the time, or empty without the lease
   */
  public OptionalLong deadlineMs(FoldedState state, long nowMs, long wallMs) {
    if (token.isEmpty()) {
      return OptionalLong.empty();
    }
    long next = Long.MAX_VALUE;
    if (collection.isPresent() && !sealing) {
      next = Math.min(collection.get().endMs(), collection.get().askAgainMs());
    }
    if (collection.isEmpty() && !sealing) {
      next = nowMs + collectAtWallMs(nextWindow(state, wallMs)) - wallMs;
    }
    for (Progress progress : windows.values()) {
      if (!progress.writing() && !progress.calling()) {
        next = Math.min(next, progress.repeatAtMs());
      }
    }
    return OptionalLong.of(next);
  }

  private Step<UsageReporter, UsageAction> act(UsageEvent.Tick tick, long nowMs) {
    List<UsageAction> actions = new ArrayList<>();
    UsageReporter next = advance(tick.state(), nowMs, actions);
    next = next.collect(tick, nowMs, actions);
    return new Step<>(next, actions);
  }

  private UsageReporter advance(FoldedState state, long nowMs, List<UsageAction> actions) {
    Map<Long, Progress> next = new TreeMap<>();
    for (WindowState window : state.windows().values()) {
      UsageSealed sealed = window.getSealed();
      if (!sealed.getRegion().equals(region)) {
        continue;
      }
      Progress progress =
          windows.getOrDefault(sealed.getWindow(), new Progress(false, false, nowMs));
      boolean idle = !progress.writing() && !progress.calling();
      if (idle && !window.isIntended()) {
        actions.add(write(new UsageReportIntent(region, sealed.getWindow(), lease())));
        progress = new Progress(true, false, nowMs);
      } else if (idle && nowMs >= progress.repeatAtMs()) {
        actions.add(new UsageAction.Report(lease(), report(window)));
        progress = new Progress(false, true, nowMs);
      }
      next.put(sealed.getWindow(), progress);
    }
    return with(collection, sealing, next);
  }

  /** Reports exactly what was sealed, so that each repeat is the same. */
  private static UsageReport report(WindowState window) {
    UsageSealed sealed = window.getSealed();
    Figures all = Figures.none().plusAll(sealed.getFigures()).plusAll(sealed.getCorrections());
    return new UsageReport(
        window.getOffset(), sealed.getRegion(), sealed.getWindow(), all.toList());
  }

  private UsageReporter collect(UsageEvent.Tick tick, long nowMs, List<UsageAction> actions) {
    if (sealing) {
      return this;
    }
    long window = nextWindow(tick.state(), tick.wallMs());
    if (collection.isEmpty()) {
      return tick.wallMs() < collectAtWallMs(window)
          ? this
          : start(window, tick.state(), nowMs, actions);
    }
    Collection open = collection.get();
    if (open.isComplete(nowMs)) {
      actions.add(write(open.seal(tick.state(), lease())));
      return with(Optional.empty(), true, windows);
    }
    if (nowMs < open.askAgainMs()) {
      return this;
    }
    ask(open, tick.state(), actions);
    return with(Optional.of(open.askedAgain(nowMs + ASK_AGAIN_MS)), false, windows);
  }

  private UsageReporter start(
      long window, FoldedState state, long nowMs, List<UsageAction> actions) {
    Set<Incarnation> awaited =
        state.processes().values().stream()
            .filter(p -> !p.isEnded() && p.getJoined().getRegion().equals(region))
            .map(ProcessState::getIncarnation)
            .collect(Collectors.toSet());
    Collection open =
        new Collection(region, window, awaited, Map.of(), nowMs + COLLECT_MS, nowMs + ASK_AGAIN_MS);
    ask(open, state, actions);
    return with(Optional.of(open), false, windows);
  }

  /** Asks this process, too; its counters come in the same way as those of the others. */
  private void ask(Collection open, FoldedState state, List<UsageAction> actions) {
    for (Incarnation process : open.awaited()) {
      state
          .process(process.getVm())
          .map(p -> p.getJoined().getPeerAddress())
          .ifPresent(
              address -> actions.add(new UsageAction.Ask(address, new UsageQuery(open.window()))));
    }
  }

  private long nextWindow(FoldedState state, long wallMs) {
    return Optional.ofNullable(state.lastSealedWindows().get(region))
        .map(last -> last + 1)
        .orElse(UsageLedger.windowAt(wallMs) - 1);
  }

  private static long collectAtWallMs(long window) {
    return (window + 1) * UsageLedger.WINDOW_MS + SETTLE_MS;
  }

  private UsageReporter readBack(RecordBody body) {
    if (body instanceof UsageSealed sealed && sealed.getRegion().equals(region)) {
      return with(collection, false, windows);
    }
    if (body instanceof UsageReportIntent intent) {
      return progress(intent.getWindow(), new Progress(false, false, Long.MIN_VALUE));
    }
    if (body instanceof UsageReported reported) {
      return progress(reported.getWindow(), new Progress(false, false, Long.MIN_VALUE));
    }
    return this;
  }

  private Step<UsageReporter, UsageAction> answered(UsageEvent.Answered event, long nowMs) {
    Optional<Progress> open =
        Optional.ofNullable(windows.get(event.window())).filter(Progress::calling);
    if (open.isEmpty() || token.isEmpty()) {
      return Step.to(this);
    }
    if (event.status() == ReportStatus.CONFLICT) {
      Progress later = new Progress(false, false, nowMs + UsageLedger.WINDOW_MS);
      return Step.to(progress(event.window(), later), new UsageAction.Conflict(event.window()));
    }
    long endMs = (event.window() + 1) * UsageLedger.WINDOW_MS;
    boolean late = event.wallMs() > endMs + LATE_MS;
    return new Step<>(
        progress(event.window(), new Progress(true, false, nowMs)),
        List.of(
            new UsageAction.Confirmed(event.window(), late),
            write(new UsageReported(region, event.window(), lease()))));
  }

  private UsageReporter progress(long window, Progress next) {
    if (!windows.containsKey(window)) {
      return this;
    }
    Map<Long, Progress> all = new TreeMap<>(windows);
    all.put(window, next);
    return with(collection, sealing, all);
  }

  private UsageReporter under(OptionalLong next) {
    return new UsageReporter(region, self, collection, sealing, windows, next);
  }

  private UsageReporter with(
      Optional<Collection> nextCollection, boolean nextSealing, Map<Long, Progress> nextWindows) {
    return new UsageReporter(region, self, nextCollection, nextSealing, nextWindows, token);
  }

  private long lease() {
    return token.orElseThrow();
  }

  private static UsageAction write(RecordBody body) {
    return new UsageAction.Write(body);
  }
}
