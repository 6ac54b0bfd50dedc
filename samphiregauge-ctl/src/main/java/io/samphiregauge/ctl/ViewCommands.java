package io.samphiregauge.ctl;

import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.log.FoldedState.WindowKey;
import io.samphiregauge.core.log.LogReader.ReadOutcome;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.ctl.EntryState;
import io.samphiregauge.schema.ctl.HistoryLine;
import io.samphiregauge.schema.ctl.HistoryReport;
import io.samphiregauge.schema.ctl.StatusReport;
import io.samphiregauge.schema.ctl.UsageLine;
import io.samphiregauge.schema.ctl.UsageListing;
import io.samphiregauge.schema.record.LeaseState;
import io.samphiregauge.schema.record.Note;
import io.samphiregauge.schema.record.UsageFigure;
import io.samphiregauge.schema.record.UsageReported;
import io.samphiregauge.schema.record.UsageSealed;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Commands that read state and print it without changing it. */
final class ViewCommands {
  private ViewCommands() {}

  /** Shows the log lines of a request, and the state changes of its entries around that time. */
  static Result<Report> explain(String id, List<Path> logs) {
    return RequestHistory.explain(id, logs)
        .map(
            explanation -> {
              List<String> lines = new ArrayList<>(explanation.getHistory());
              if (!explanation.getContext().isEmpty()) {
                lines.add("Around that time:");
                lines.addAll(explanation.getContext());
              }
              lines.add(explanation.getCause());
              return new Report(
                  explanation,
                  lines,
                  explanation.getHistory().isEmpty() ? Main.EXIT_FAILURE : Main.EXIT_SUCCESS);
            });
  }

  /** Lists the notes in the log, both accepted and rejected. */
  static Result<Report> history(Session session) {
    return session.logClient().flatMap(BlockingLogClient::readAll).map(ViewCommands::historyReport);
  }

  /** Lists the sealed usage in the log. */
  static Result<Report> usage(Session session) {
    return session.logClient().flatMap(BlockingLogClient::readAll).map(ViewCommands::usageReport);
  }

  /**
   * Shows the entries and the leases. Where the operator has named entries, a log that cannot be
   * read is reported as a problem and the entries are shown nevertheless.
   */
  static Result<Report> status(Session session) {
    Result<LogView> view = session.logClient().flatMap(BlockingLogClient::readAll);
    if (session.hasNamedEntries()) {
      FoldedState state = view.map(LogView::state).value().orElseGet(FoldedState::empty);
      return Result.success(statusReport(session, view, session.targets(state)));
    }
    return view.map(v -> statusReport(session, view, session.targets(v.state())));
  }

  private static Report statusReport(
      Session session, Result<LogView> view, List<EntryClient.Target> targets) {
    List<EntryState> entries = session.entryClient().fetch(targets);
    StatusReport statusReport =
        new StatusReport(
            view.value().map(v -> v.state().noteOffset()).orElse(FoldedState.NO_OFFSET),
            view.value().map(LogView::nextOffset).orElse(FoldedState.NO_OFFSET),
            entries,
            view.value().map(v -> List.copyOf(v.state().leases().values())).orElse(List.of()),
            view.failure().map(Failure::message).orElse(null));
    String logLine =
        view.fold(
            v ->
                "log: next offset %d, note in force at offset %d"
                    .formatted(v.nextOffset(), v.state().noteOffset()),
            failure -> "log: " + failure.message());
    Report report = Report.of(statusReport, logLine).withTable(entryTable(entries));
    return statusReport.getLeases().isEmpty()
        ? report
        : report.withTable(leaseTable(statusReport.getLeases()));
  }

  private static Table entryTable(List<EntryState> entries) {
    return new Table(
        List.of("VM", "DOMAIN", "ADDRESS", "READY", "FRESH", "NOTE", "LOG", "CALLS", "PROBLEM"),
        entries.stream()
            .map(
                e ->
                    List.of(
                        e.getVm(),
                        e.getFailureDomain(),
                        e.getAddress(),
                        yesOrNo(e.isReady()),
                        yesOrNo(e.isFresh()),
                        String.valueOf(e.getNoteOffset()),
                        String.valueOf(e.getUpToOffset()),
                        String.valueOf(e.getRunningCalls()),
                        e.getProblem().orElse("")))
            .toList());
  }

  private static Table leaseTable(List<LeaseState> leases) {
    return new Table(
        List.of("LEASE", "HOLDER", "TOKEN", "RELEASED"),
        leases.stream()
            .map(
                lease ->
                    List.of(
                        lease.getRole(),
                        lease.getHolder().getVm(),
                        String.valueOf(lease.getToken()),
                        yesOrNo(lease.isReleased())))
            .toList());
  }

  private static Report historyReport(LogView view) {
    List<HistoryLine> lines =
        view.foldedRecords().stream()
            .filter(read -> read.recordAt().getRecord().getBody() instanceof Note)
            .map(ViewCommands::historyLine)
            .toList();
    Table table =
        new Table(
            List.of("OFFSET", "AUTHOR", "BUILDS ON", "ACCEPTED", "NOTE"),
            lines.stream()
                .map(
                    line ->
                        List.of(
                            String.valueOf(line.getOffset()),
                            line.getAuthor(),
                            String.valueOf(line.getBuildsOnOffset()),
                            yesOrNo(line.isAccepted()),
                            line.getReason().orElse(line.getSummary())))
                .toList());
    return Report.of(new HistoryReport(view.firstOffset(), lines)).withTable(table);
  }

  private static HistoryLine historyLine(ReadOutcome.Folded read) {
    Note note = (Note) read.recordAt().getRecord().getBody();
    return new HistoryLine(
        read.recordAt().getOffset(),
        note.getAuthor(),
        note.getBuildsOnOffset(),
        read.accepted(),
        NoteFiles.summary(note),
        read.rejection().map(Failure::message).orElse(null));
  }

  private static Report usageReport(LogView view) {
    Set<WindowKey> reported =
        accepted(view, UsageReported.class)
            .map(report -> new WindowKey(report.getRegion(), report.getWindow()))
            .collect(Collectors.toSet());
    List<UsageLine> lines = new ArrayList<>();
    accepted(view, UsageSealed.class).forEach(window -> addUsageLines(lines, window, reported));
    Table table =
        new Table(
            List.of(
                "REGION",
                "WINDOW",
                "TEAM",
                "MODEL",
                "REQUESTS",
                "PROMPT",
                "OUTPUT",
                "SPEND",
                "KIND",
                "REPORTED"),
            lines.stream().map(ViewCommands::usageCells).toList());
    return Report.of(new UsageListing(view.firstOffset(), lines)).withTable(table);
  }

  private static void addUsageLines(
      List<UsageLine> lines, UsageSealed window, Set<WindowKey> reported) {
    boolean isReported = reported.contains(new WindowKey(window.getRegion(), window.getWindow()));
    for (UsageFigure figure : window.getFigures()) {
      lines.add(new UsageLine(window.getRegion(), window.getWindow(), figure, false, isReported));
    }
    for (UsageFigure figure : window.getCorrections()) {
      lines.add(new UsageLine(window.getRegion(), window.getWindow(), figure, true, isReported));
    }
  }

  private static List<String> usageCells(UsageLine line) {
    UsageFigure figure = line.getFigure();
    return List.of(
        line.getRegion(),
        String.valueOf(line.getWindow()),
        figure.getTeam(),
        figure.getModel(),
        String.valueOf(figure.getRequests()),
        String.valueOf(figure.getPromptTokens()),
        String.valueOf(figure.getOutputTokens()),
        String.valueOf(figure.getSpendMicros()),
        line.isCorrection() ? "correction" : "figure",
        yesOrNo(line.isReported()));
  }

  private static <T> Stream<T> accepted(LogView view, Class<T> type) {
    return view.foldedRecords().stream()
        .filter(ReadOutcome.Folded::accepted)
        .map(read -> read.recordAt().getRecord().getBody())
        .filter(type::isInstance)
        .map(type::cast);
  }

  private static String yesOrNo(boolean value) {
    return value ? "yes" : "no";
  }
}
