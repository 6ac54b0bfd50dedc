package io.samphiregauge.core.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.log.Fold;
import io.samphiregauge.core.log.FoldStep;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.peer.UsageAnswer;
import io.samphiregauge.schema.peer.UsageCopy;
import io.samphiregauge.schema.peer.UsageQuery;
import io.samphiregauge.schema.platform.ReportStatus;
import io.samphiregauge.schema.platform.UsageReport;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.LeaseClaim;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.UsageFigure;
import io.samphiregauge.schema.record.UsageSealed;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Guards against usage that is lost, counted twice or reported with different figures. */
class UsageReporterTest {
  private static final String ROLE = "usage/luzon";
  private static final long WINDOW = 100;
  private static final long END_MS = (WINDOW + 1) * UsageStore.WINDOW_MS;

  private final List<Incarnation> processes = new ArrayList<>();
  private final List<UsageStore> stores = new ArrayList<>();
  private final Set<Integer> unresponsive = new HashSet<>();
  private final List<UsageReport> reports = new ArrayList<>();
  private final List<UsageAction.Confirmed> confirmed = new ArrayList<>();
  private final TreeMap<String, Long> sequences = new TreeMap<>();
  private FoldedState state = FoldedState.empty();
  private UsageReporter reporter;
  private boolean platformResponds = true;

  UsageReporterTest() {
    for (int i = 0; i < 3; i++) {
      Incarnation process = new Incarnation("vm" + i, 1L, 1L);
      processes.add(process);
      stores.add(UsageStore.of("luzon", process));
      append(process, new Joined("luzon", "a", "127.0.0.1:1", Integer.toString(i)));
    }
    claim(0);
  }

  private void claim(int index) {
    long last = state.lease(ROLE).map(lease -> lease.getLastOffset()).orElse(-1L);
    append(processes.get(index), new LeaseClaim(ROLE, last, 10_000L));
    reporter = UsageReporter.of("luzon", processes.get(index));
  }

  private void append(Incarnation writer, RecordBody body) {
    long sequence = sequences.merge(writer.getVm(), 1L, Long::sum);
    FoldStep step =
        Fold.apply(state, state.upToOffset() + 1, new LogRecord(writer, sequence, body));
    assertThat(step.rejection()).isEmpty();
    state = step.state();
    if (body instanceof UsageSealed sealed) {
      stores.replaceAll(store -> store.applySeal(sealed));
    }
  }

  private void count(int index, long window, long tokens) {
    UsageFigure figure = new UsageFigure("t1", "m1", 1, tokens, 2 * tokens, 3 * tokens);
    stores.set(index, stores.get(index).count(window, figure));
  }

  private void copy(int from, int to) {
    Step<UsageStore, ?> step = stores.get(from).copyTo("vm" + to);
    stores.set(from, step.state());
    step.actions().forEach(copy -> stores.set(to, stores.get(to).mergeCopy((UsageCopy) copy)));
  }

  /** Runs the reporter for the given number of steps of 500 ms. */
  private void run(long wallMs, int steps) {
    for (int i = 0; i < steps; i++) {
      long nowMs = wallMs + i * 500L;
      OptionalLong token = OptionalLong.of(state.lease(ROLE).orElseThrow().getToken());
      handle(new UsageEvent.Tick(state, token, nowMs), nowMs);
    }
  }

  private void handle(UsageEvent event, long nowMs) {
    Step<UsageReporter, UsageAction> step = reporter.handle(event, nowMs);
    reporter = step.state();
    for (UsageAction action : step.actions()) {
      if (action instanceof UsageAction.Append append) {
        append(reporter.self(), append.body());
        handle(new UsageEvent.ReadBack(append.body()), nowMs);
      }
      if (action instanceof UsageAction.Query request) {
        query(Integer.parseInt(request.peerAddress()), request.query(), nowMs);
      }
      if (action instanceof UsageAction.Report report) {
        reports.add(report.report());
        long window = report.report().getWindow();
        handle(
            platformResponds
                ? new UsageEvent.ReportResponse(window, ReportStatus.ACCEPTED, nowMs)
                : new UsageEvent.ReportOutcomeUnknown(window),
            nowMs);
      }
      if (action instanceof UsageAction.Confirmed confirmation) {
        confirmed.add(confirmation);
      }
    }
  }

  private void query(int index, UsageQuery query, long nowMs) {
    if (unresponsive.contains(index)) {
      return;
    }
    Step<UsageStore, UsageAnswer> step = stores.get(index).respond(query, state);
    stores.set(index, step.state());
    step.actions().forEach(response -> handle(new UsageEvent.QueryResponse(response), nowMs));
  }

  private long reportedTokens() {
    return reports.stream()
        .collect(Collectors.toMap(UsageReport::getIdempotencyKey, r -> r, (first, retry) -> retry))
        .values()
        .stream()
        .flatMap(report -> report.getFigures().stream())
        .mapToLong(UsageFigure::getPromptTokens)
        .sum();
  }

  @Test
  void reportsTheSumOfAllEntriesOnceAndOnTime() {
    count(0, WINDOW, 5);
    count(1, WINDOW, 7);
    count(1, WINDOW, 1);
    run(END_MS + UsageReporter.COLLECTION_DELAY_MS, 5);
    assertThat(reports).hasSize(1);
    assertThat(reports.get(0).getFigures())
        .containsExactly(new UsageFigure("t1", "m1", 3, 13, 26, 39));
    assertThat(confirmed).containsExactly(new UsageAction.Confirmed(WINDOW, false));
    assertThat(state.windows()).isEmpty();
  }

  @Test
  void retriesTheSameReportUnderTheSameKeyAfterAChangeOfHolder() {
    count(0, WINDOW, 5);
    platformResponds = false;
    run(END_MS + UsageReporter.COLLECTION_DELAY_MS, 8);
    claim(1);
    platformResponds = true;
    run(END_MS + UsageReporter.LATE_AFTER_MS + 1, 4);
    assertThat(reports.size()).isGreaterThan(2);
    assertThat(Set.copyOf(reports.stream().filter(r -> r.getWindow() == WINDOW).toList()))
        .hasSize(1);
    assertThat(confirmed).contains(new UsageAction.Confirmed(WINDOW, true));
  }

  @Test
  void addsTheUsageOfAnUnresponsiveEntryToALaterWindow() {
    count(0, WINDOW, 5);
    count(1, WINDOW, 7);
    unresponsive.add(1);
    run(END_MS + UsageReporter.COLLECTION_DELAY_MS, 16);
    assertThat(reportedTokens()).isEqualTo(5);
    unresponsive.clear();
    run(END_MS + UsageStore.WINDOW_MS + UsageReporter.COLLECTION_DELAY_MS, 5);
    assertThat(reportedTokens()).isEqualTo(12);
    assertThat(state.missingUsage()).isEmpty();
  }

  @Test
  void usesTheCopyOfAKilledEntryOnceItHasEnded() {
    count(1, WINDOW, 7);
    copy(1, 2);
    unresponsive.add(1);
    run(END_MS + UsageReporter.COLLECTION_DELAY_MS, 16);
    assertThat(reportedTokens()).isZero();
    append(processes.get(1), new Ended(processes.get(1)));
    run(END_MS + UsageStore.WINDOW_MS + UsageReporter.COLLECTION_DELAY_MS, 5);
    assertThat(reportedTokens()).isEqualTo(7);
  }

  @Test
  void ignoresACopyWhileItsOwnerIsLive() {
    count(1, WINDOW, 7);
    copy(1, 2);
    run(END_MS + UsageReporter.COLLECTION_DELAY_MS, 5);
    assertThat(reportedTokens()).isEqualTo(7);
    run(END_MS + UsageStore.WINDOW_MS + UsageReporter.COLLECTION_DELAY_MS, 5);
    assertThat(reportedTokens()).isEqualTo(7);
  }

  @Test
  void usageCountedAfterTheResponseGoesToTheNextWindow() {
    count(0, WINDOW, 5);
    run(END_MS + UsageReporter.COLLECTION_DELAY_MS, 1);
    count(0, WINDOW, 2);
    run(END_MS + UsageReporter.COLLECTION_DELAY_MS, 5);
    assertThat(reportedTokens()).isEqualTo(5);
    run(END_MS + UsageStore.WINDOW_MS + UsageReporter.COLLECTION_DELAY_MS, 5);
    assertThat(reportedTokens()).isEqualTo(7);
  }

  @Test
  void sealsTheWindowsOfALogOutageOneByOne() {
    count(0, WINDOW, 5);
    run(END_MS + UsageReporter.COLLECTION_DELAY_MS, 5);
    count(0, WINDOW + 1, 6);
    count(0, WINDOW + 2, 7);
    run(END_MS + 2 * UsageStore.WINDOW_MS + UsageReporter.COLLECTION_DELAY_MS, 20);
    assertThat(reports).extracting(UsageReport::getWindow).containsExactly(100L, 101L, 102L);
    assertThat(reportedTokens()).isEqualTo(18);
  }
}
