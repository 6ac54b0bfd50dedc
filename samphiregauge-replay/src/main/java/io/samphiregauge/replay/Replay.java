package io.samphiregauge.replay;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.replay.ReplayReport;
import io.samphiregauge.schema.replay.ReplaySettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Replays traces in virtual time; equal arguments give equal reports.
 *
 * <pre>{@code
 * Result<List<ReplayReport>> reports =
 *     Replay.readTrace(file).flatMap(trace -> Replay.of(trace).policy("product").run());
 * reports.value().ifPresent(list -> System.out.println(Replay.table(list)));
 * }</pre>
 */
public final class Replay {
  /** Name of the offline bound, which is computed from the complete trace instead of simulated. */
  public static final String BOUND = "bound";

  /** Deployment used for traces whose name does not start with a known deployment. */
  public static final String DEFAULT_DEPLOYMENT = "th-central";

  private static final long DEFAULT_SEED = 1;
  private static final List<String> DEPLOYMENTS = List.of("th-central", "luzon");

  private final Trace trace;
  private Optional<ReplaySettings> settings = Optional.empty();
  private Optional<String> policy = Optional.empty();
  private long seed = DEFAULT_SEED;

  private Replay(Trace trace) {
    this.trace = trace;
  }

  /**
   * Creates a replay of a trace.
   *
   * @param trace trace to replay
   * @return a replay of all policies with the settings of the trace's deployment
   */
  public static Replay of(Trace trace) {
    return new Replay(trace);
  }

  /** Sets the settings, in place of those of the trace's deployment. */
  public Replay settings(ReplaySettings value) {
    settings = Optional.of(value);
    return this;
  }

  /** Restricts the replay to one policy or to {@link #BOUND}. */
  public Replay policy(String name) {
    policy = Optional.of(name);
    return this;
  }

  /** Sets the seed for the random choices of the entries; the default is 1. */
  public Replay seed(long value) {
    seed = value;
    return this;
  }

  /**
   * Runs the replay.
   *
   * @return a report for each policy and for the bound, or a failure if the trace has no requests
   *     or the policy is unknown
   */
  public Result<List<ReplayReport>> run() {
    if (trace.requests().isEmpty()) {
      return Result.failed(
          new ReplayFailure.Malformed(trace.name(), 0, "the trace has no requests"));
    }
    return settings
        .map(Result::success)
        .orElseGet(() -> builtInSettings(deploymentOf(trace.name())))
        .flatMap(this::run);
  }

  private Result<List<ReplayReport>> run(ReplaySettings replaySettings) {
    List<String> names = policy.map(List::of).orElseGet(Replay::policies);
    List<ReplayReport> reports = new ArrayList<>();
    for (String name : names) {
      if (name.equals(BOUND)) {
        reports.add(OfflineBound.report(trace, replaySettings));
        continue;
      }
      Optional<PolicySet> policySet = PolicySets.named(name);
      if (policySet.isEmpty()) {
        return Result.failed(
            new ReplayFailure.UnknownName("policy", name, String.join(", ", policies())));
      }
      SimResult result = new Simulation(trace, replaySettings, policySet.get(), seed).run();
      SimResult resultWithoutEvents =
          trace.events().isEmpty()
              ? result
              : new Simulation(trace.withoutEvents(), replaySettings, policySet.get(), seed).run();
      reports.add(ReportBuilder.build(result, resultWithoutEvents, name));
    }
    return Result.success(reports);
  }

  /** Returns the names that {@link #policy} accepts, with the bound last. */
  public static List<String> policies() {
    List<String> names = new ArrayList<>(PolicySets.names());
    names.add(BOUND);
    return names;
  }

  /** Reads a trace from a file of JSON lines. */
  public static Result<Trace> readTrace(Path file) {
    return ReplayJson.readTrace(file);
  }

  /** Reads settings from a JSON file, which may have comments. */
  public static Result<ReplaySettings> readSettings(Path file) {
    return ReplayJson.readSettings(file);
  }

  /** Returns the built-in settings of a deployment, {@code th-central} or {@code luzon}. */
  public static Result<ReplaySettings> builtInSettings(String deployment) {
    return ReplayJson.builtInSettings(deployment);
  }

  /** Returns the names of the trace shapes that {@link #generateTrace} accepts. */
  public static Collection<String> shapes() {
    return TraceShape.all().keySet();
  }

  /**
   * Generates a random trace from a seed.
   *
   * @param deployment name of the deployment
   * @param shape name of the shape, such as {@code swing}
   * @param seed seed of the random numbers
   * @param timeScale factor on all times; 1 for the full trace, 0.125 for a short version
   * @return the trace, or a failure that names the unknown deployment or shape
   */
  public static Result<Trace> generateTrace(
      String deployment, String shape, long seed, double timeScale) {
    Map<String, TraceShape> shapes = TraceShape.all();
    if (!shapes.containsKey(shape)) {
      return Result.failed(
          new ReplayFailure.UnknownName("shape", shape, String.join(", ", shapes.keySet())));
    }
    return builtInSettings(deployment)
        .map(
            deploymentSettings ->
                TraceGenerator.generate(
                    deployment + "-" + shape,
                    shapes.get(shape),
                    deploymentSettings,
                    seed,
                    timeScale));
  }

  /** Returns a trace as JSON lines, in the format of {@link #readTrace}. */
  public static String format(Trace trace) {
    return ReplayJson.formatTrace(trace);
  }

  /** Returns reports as a JSON array on one line. */
  public static String json(List<ReplayReport> reports) {
    return ReplayJson.toJson(reports);
  }

  /** Returns reports as a plain-text table with a header, one line per report. */
  public static String table(List<ReplayReport> reports) {
    return ReportTable.toText(reports);
  }

  /**
   * Writes an HTML report with plots.
   *
   * @param reports reports of one trace
   * @param directory output directory, created if it does not exist
   * @return path of the HTML file, or a failure if a file cannot be written
   */
  public static Result<Path> writeHtmlReport(List<ReplayReport> reports, Path directory) {
    try {
      Files.createDirectories(directory);
      return Result.success(HtmlReportWriter.write(reports, directory));
    } catch (IOException e) {
      return Result.failed(new ReplayFailure.FileUnusable(directory.toString(), e.toString()));
    }
  }

  private static String deploymentOf(String traceName) {
    return DEPLOYMENTS.stream()
        .filter(traceName::startsWith)
        .findFirst()
        .orElse(DEFAULT_DEPLOYMENT);
  }
}
