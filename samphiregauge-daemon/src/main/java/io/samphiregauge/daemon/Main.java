package io.samphiregauge.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.SettingsReader;
import io.samphiregauge.schema.config.Settings;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

/** Command-line entry point of the daemon. */
public final class Main {
  static final int EXIT_OK = 0;
  static final int EXIT_FAILURE = 1;
  static final int EXIT_USAGE = 2;

  private static final String PROGRAM = "samphiregauge";
  // Time limit for a graceful shutdown; streams still running after it are cut off.
  private static final int MAX_DRAIN_MS = 600_000;

  private final PrintStream out;
  private final PrintStream err;
  private final Function<Entry, Integer> serve;

  /** Command-line options. */
  private static final class Options {
    @Parameter(names = "--settings", description = "File with the settings of the entry")
    private String settings = "";

    @Parameter(names = "--help", help = true, description = "Show this text")
    private boolean help;

    @Parameter(names = "--version", help = true, description = "Show the version")
    private boolean version;
  }

  /**
   * Creates the command with its output streams.
   *
   * @param out receives regular output
   * @param err receives error messages
   * @param serve blocks while the entry serves requests, and returns the exit code
   */
  Main(PrintStream out, PrintStream err, Function<Entry, Integer> serve) {
    this.out = out;
    this.err = err;
    this.serve = serve;
  }

  /**
   * Runs an entry until SIGTERM or SIGINT, then shuts it down gracefully. Exit codes are 0 for
   * success, 1 for a failure and 2 for an invalid command line.
   *
   * @param args command-line arguments
   */
  public static void main(String[] args) {
    int code = new Main(System.out, System.err, Main::awaitSignal).run(args);
    if (code != EXIT_OK) {
      System.exit(code);
    }
  }

  int run(String... args) {
    Options options = new Options();
    JCommander commander = JCommander.newBuilder().programName(PROGRAM).addObject(options).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      return reportError(EXIT_USAGE, e.getMessage());
    }
    if (options.help) {
      StringBuilder usage = new StringBuilder();
      commander.getUsageFormatter().usage(usage);
      out.print(usage);
      return EXIT_OK;
    }
    if (options.version) {
      out.println(PROGRAM + " " + version());
      return EXIT_OK;
    }
    return options.settings.isEmpty()
        ? reportError(EXIT_USAGE, "missing required option --settings FILE")
        : start(Path.of(options.settings));
  }

  private int start(Path file) {
    Result<Entry> entry =
        SettingsReader.read(file, "config/settings.json", Settings.class)
            .flatMap(settings -> Entry.start(settings, () -> System.nanoTime() / 1_000_000));
    return entry.fold(
        started -> {
          out.println("event=serving address=" + started.address());
          return serve.apply(started);
        },
        failure -> reportError(EXIT_FAILURE, describe(failure)));
  }

  private static String describe(Failure failure) {
    return failure.type() + ": " + failure.message();
  }

  private int reportError(int code, String message) {
    err.println(PROGRAM + ": " + message);
    return code;
  }

  private static String version() {
    return Optional.ofNullable(Main.class.getPackage().getImplementationVersion())
        .orElse("development");
  }

  private static int awaitSignal(Entry entry) {
    CountDownLatch signalled = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> drainAndHalt(entry, signalled), "shutdown"));
    try {
      signalled.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return EXIT_OK;
  }

  /**
   * Drains the entry in the shutdown hook. Without the halt, the exit code would be that of the
   * signal.
   */
  private static void drainAndHalt(Entry entry, CountDownLatch signalled) {
    int code = EXIT_OK;
    try {
      entry.drain().get(MAX_DRAIN_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException | ExecutionException | TimeoutException e) {
      System.err.println(PROGRAM + ": graceful shutdown did not complete: " + e);
      code = EXIT_FAILURE;
    }
    entry.close();
    signalled.countDown();
    Runtime.getRuntime().halt(code);
  }
}
