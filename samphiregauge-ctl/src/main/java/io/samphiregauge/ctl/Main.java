package io.samphiregauge.ctl;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.ctl.Commands.RegisteredCommand;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.ctl.ErrorReport;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Entry point of {@code samphirectl}. Exit codes: 0 success, 1 failure, 2 invalid usage. */
public final class Main {
  static final int EXIT_SUCCESS = 0;
  static final int EXIT_FAILURE = 1;
  static final int EXIT_USAGE = 2;

  private static final String PROGRAM_NAME = "samphirectl";

  private final PrintStream out;
  private final PrintStream err;
  private final Map<String, String> environment;
  private final Map<String, RegisteredCommand> commands = Commands.createAll();
  private final GlobalOptions globalOptions = new GlobalOptions();

  private Main(PrintStream out, PrintStream err, Map<String, String> environment) {
    this.out = out;
    this.err = err;
    this.environment = environment;
  }

  /** Options that precede the name of the command. */
  private static final class GlobalOptions {
    @Parameter(names = "--help", help = true, description = "Print the usage")
    private boolean help;

    @Parameter(names = "--version", description = "Print the version")
    private boolean version;
  }

  /**
   * Runs a command and exits.
   *
   * @param args command line
   */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err, System.getenv()));
  }

  /**
   * Runs a command.
   *
   * @param args command line
   * @param out stream for results
   * @param err stream for error messages
   * @param environment environment variables
   * @return exit code
   */
  public static int run(
      String[] args, PrintStream out, PrintStream err, Map<String, String> environment) {
    return new Main(out, err, environment).run(args);
  }

  private int run(String[] args) {
    JCommander parser =
        JCommander.newBuilder().programName(PROGRAM_NAME).addObject(globalOptions).build();
    commands.forEach((name, command) -> parser.addCommand(name, command.options()));
    try {
      parser.parse(args);
    } catch (ParameterException e) {
      err.println(PROGRAM_NAME + ": " + e.getMessage());
      return EXIT_USAGE;
    }
    if (globalOptions.version) {
      out.println(PROGRAM_NAME + " " + version());
      return EXIT_SUCCESS;
    }
    Optional<String> name = Optional.ofNullable(parser.getParsedCommand());
    if (globalOptions.help || name.isEmpty()) {
      commandList().forEach(globalOptions.help ? out::println : err::println);
      return globalOptions.help ? EXIT_SUCCESS : EXIT_USAGE;
    }
    RegisteredCommand registered = commands.get(name.get());
    if (registered.options().common().help) {
      printUsage(parser.getCommands().get(name.get()), name.get());
      return EXIT_SUCCESS;
    }
    return runCommand(registered);
  }

  private List<String> commandList() {
    List<String> lines = new ArrayList<>();
    lines.add("Usage: %s [--help] [--version] COMMAND [options]".formatted(PROGRAM_NAME));
    commands.forEach(
        (name, command) -> lines.add("  %-10s %s".formatted(name, command.description())));
    lines.add("%s COMMAND --help lists the options of a command.".formatted(PROGRAM_NAME));
    return lines;
  }

  private void printUsage(JCommander command, String name) {
    command.setProgramName(PROGRAM_NAME + " " + name);
    StringBuilder text = new StringBuilder();
    command.getUsageFormatter().usage(text);
    out.print(text);
  }

  private int runCommand(RegisteredCommand registered) {
    CommonOptions options = registered.options().common();
    Consumer<String> progress = options.json ? line -> {} : out::println;
    try (Session session = new Session(options.logUrl(environment), options.entries(), progress)) {
      Result<Report> result = registered.command().run(session);
      return result.fold(
          report -> print(report, options.json), failure -> print(failure, options.json));
    }
  }

  private int print(Report report, boolean json) {
    if (json) {
      out.println(json(report.message()));
    } else {
      report.lines().forEach(out::println);
    }
    return report.exitStatus();
  }

  private int print(Failure failure, boolean json) {
    err.println(
        json
            ? json(new ErrorReport(failure.type(), failure.message()))
            : "%s: %s: %s".formatted(PROGRAM_NAME, failure.type(), failure.message()));
    return failure instanceof CtlFailure.Usage ? EXIT_USAGE : EXIT_FAILURE;
  }

  private static String version() {
    return Optional.ofNullable(Main.class.getPackage().getImplementationVersion())
        .orElse("unpackaged");
  }

  private static String json(Object message) {
    return new String(Codec.json().encode(message), StandardCharsets.UTF_8);
  }
}
