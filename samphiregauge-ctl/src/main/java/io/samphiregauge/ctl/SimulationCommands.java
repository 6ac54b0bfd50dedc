package io.samphiregauge.ctl;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.replay.Replay;
import io.samphiregauge.replay.Trace;
import io.samphiregauge.schema.replay.ReplayReport;
import io.samphiregauge.schema.replay.ReplaySettings;
import io.samphiregauge.verify.FailedSchedule;
import io.samphiregauge.verify.Verification;
import io.samphiregauge.verify.VerificationReport;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Commands that replay traces and run fault schedules in this process, without a network. */
final class SimulationCommands {
  private SimulationCommands() {}

  /** Replays a trace under one policy, or under all policies where none is given. */
  static Result<Report> replay(Session session, CommandOptions.Replay options) {
    return Replay.readTrace(options.trace())
        .flatMap(trace -> withSettings(Replay.of(trace), options.settings()))
        .map(replay -> options.policy().map(replay::policy).orElse(replay))
        .flatMap(Replay::run)
        .flatMap(reports -> withHtmlReport(reports, options.report()));
  }

  /** Generates a trace from a seed and prints it as JSON lines. */
  static Result<Report> trace(Session session, CommandOptions.Trace options) {
    return Replay.generateTrace(options.deployment, options.shape, options.seed, options.scale)
        .map(trace -> new Report(trace, formatLines(trace), Main.EXIT_SUCCESS));
  }

  /** Runs fault schedules and prints the trace of each one that violates an invariant. */
  static Result<Report> verify(Session session, CommandOptions.Verify options) {
    if (options.schedules < 1) {
      return Result.failed(new CtlFailure.Usage("--schedules must be at least 1."));
    }
    return Result.success(toReport(Verification.of(options.schedules, options.seed).run()));
  }

  private static Result<Replay> withSettings(Replay replay, Optional<Path> file) {
    Optional<Result<ReplaySettings>> settings = file.map(Replay::readSettings);
    return settings.map(read -> read.map(replay::settings)).orElseGet(() -> Result.success(replay));
  }

  private static Result<Report> withHtmlReport(
      List<ReplayReport> reports, Optional<Path> directory) {
    List<String> lines = new ArrayList<>(Replay.table(reports).lines().toList());
    if (directory.isEmpty()) {
      return Result.success(new Report(reports, lines, Main.EXIT_SUCCESS));
    }
    return Replay.writeHtmlReport(reports, directory.get())
        .map(
            page -> {
              lines.add("Plots: " + page);
              return new Report(reports, lines, Main.EXIT_SUCCESS);
            });
  }

  private static List<String> formatLines(Trace trace) {
    return Replay.format(trace).lines().toList();
  }

  private static Report toReport(VerificationReport verification) {
    List<String> lines = new ArrayList<>();
    for (FailedSchedule schedule : verification.failed()) {
      lines.addAll(schedule.trace());
      lines.add(
          "seed %d breaks %s at step %d: %s (replayed exactly: %s)"
              .formatted(
                  schedule.seed(),
                  schedule.invariant(),
                  schedule.step(),
                  schedule.violation(),
                  schedule.replayedExactly()));
    }
    lines.add(
        "%d of %d schedules from seed %d, %d steps, %d failed"
            .formatted(
                verification.done(),
                verification.schedules(),
                verification.firstSeed(),
                verification.steps(),
                verification.failed().size()));
    return new Report(verification, lines, verification.exitStatus());
  }
}
