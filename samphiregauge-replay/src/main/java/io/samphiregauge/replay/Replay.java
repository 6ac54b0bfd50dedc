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
  /** Name of the bound that knows the future; it is computed, and no policy. */
  public static final String BOUND = "bound";

  /** Deployment whose settings a trace without a known deployment in its name uses. */
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
   * Prepares a replay.
   *
   * @param trace the trace
   * @return a replay with the settings of the trace's deployment and all policies
   */
  public static Replay of(Trace trace) {
    return new Replay(trace);
  }

  /** Uses these settings. */
  public Replay settings(ReplaySettings value) {
    settings = Optional.of(value);
    return this;
  }

  /** Runs only this policy, or only the bound. */
  public Replay policy(String name) {
    policy = Optional.of(name);
    return this;
  }

  /** Uses this seed for the random choices of the entries. */
  public Replay seed(long value) {
    seed = value;
    return this;
  }

  /**
   * Runs.
   *
   * @return a report for each policy and for the bound, or why it cannot run
   */
  public Result<List<ReplayReport>> run() {
    if (trace.requests().isEmpty()) {
      return Result.failed(new ReplayFailure.Malformed(trace.name(), 0, "there are no requests"));
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

  /** Returns the names of the policies, with the bound last. */
  public static List<String> policies() {
    List<String> names = new ArrayList<>(PolicySets.names());
    names.add(BOUND);
    return names;
  }

  /** Reads a trace of JSON lines. */
  public static Result<Trace> readTrace(Path file) {
    return ReplayJson.readTrace(file);
  }

  /** Reads settings, which are JSON with comments. */
  public static Result<ReplaySettings> readSettings(Path file) {
    return ReplayJson.readSettings(file);
  }

  /** Returns the settings of a deployment, {@code th-central} or {@code luzon}. */
  public static Result<ReplaySettings> builtInSettings(String deployment) {
    return ReplayJson.builtInSettings(deployment);
  }

  /** Returns the names of the shapes of traces that can be written. */
  public static Collection<String> shapes() {
    return TraceShape.all().keySet();
  }

  /**
   * Makes a seeded trace.
   *
   * @param deployment deployment
   * @param shape shape, such as {@code swing}
   * @param seed seed
   * @param timeScale factor on all times; 1 for the whole trace, 0.125 for a small version
   * @return the trace, or which name is unknown
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
            used ->
                TraceGenerator.generate(
                    deployment + "-" + shape, shapes.get(shape), used, seed, timeScale));
  }

  /** Returns a trace as JSON lines. */
  public static String format(Trace trace) {
    return ReplayJson.formatTrace(trace);
  }

  /** Returns reports as one JSON array. */
  public static String json(List<ReplayReport> reports) {
    return ReplayJson.toJson(reports);
  }

  /** Returns reports as a table for people. */
  public static String table(List<ReplayReport> reports) {
    return ReportTable.toText(reports);
  }

  /**
   * Writes an HTML page with plots.
   *
   * @param reports reports of one trace
   * @param directory directory, made if it does not exist
   * @return the page, or why it cannot be written
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
