package io.samphiregauge.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Options of the commands, as classes that JCommander fills from the command line. */
final class CommandOptions {
  private CommandOptions() {}

  /** Options of one command, which include those common to all. */
  interface Options {
    CommonOptions common();
  }

  @Parameters
  static final class NoArguments implements Options {
    @ParametersDelegate private final CommonOptions common = new CommonOptions();

    @Override
    public CommonOptions common() {
      return common;
    }
  }

  @Parameters
  static final class FileArgument implements Options {
    @ParametersDelegate private final CommonOptions common = new CommonOptions();

    @Parameter(description = "FILE", required = true)
    private String file;

    @Override
    public CommonOptions common() {
      return common;
    }

    Path file() {
      return Path.of(file);
    }
  }

  @Parameters
  static final class BackendArgument implements Options {
    @ParametersDelegate private final CommonOptions common = new CommonOptions();

    @Parameter(description = "BACKEND", required = true)
    private String backend;

    @Override
    public CommonOptions common() {
      return common;
    }

    String backend() {
      return backend;
    }
  }

  @Parameters
  static final class Explain implements Options {
    @ParametersDelegate private final CommonOptions common = new CommonOptions();

    @Parameter(description = "ID", required = true)
    private String id;

    @Parameter(
        names = "--logs",
        required = true,
        variableArity = true,
        description = "Log files of entries")
    private List<String> logs = new ArrayList<>();

    @Override
    public CommonOptions common() {
      return common;
    }

    String id() {
      return id;
    }

    List<Path> logs() {
      return logs.stream().map(Path::of).toList();
    }
  }

  @Parameters
  static final class Keys implements Options {
    @ParametersDelegate private final CommonOptions common = new CommonOptions();

    @Parameter(description = "new", required = true)
    private String action;

    @Parameter(names = "--team", description = "Team to add the key to, by a note")
    private String team;

    @Override
    public CommonOptions common() {
      return common;
    }

    String action() {
      return action;
    }

    Optional<String> team() {
      return Optional.ofNullable(team);
    }
  }

  @Parameters
  static final class Replay implements Options {
    @ParametersDelegate private final CommonOptions common = new CommonOptions();

    @Parameter(names = "--trace", required = true, description = "File with a trace as JSON lines")
    private String trace;

    @Parameter(
        names = "--settings",
        description = "File with settings (default: those of the deployment)")
    private String settings;

    @Parameter(names = "--policy", description = "Policy to replay (default: all)")
    private String policy;

    @Parameter(names = "--report", description = "Directory to write an HTML report to")
    private String report;

    @Override
    public CommonOptions common() {
      return common;
    }

    Path trace() {
      return Path.of(trace);
    }

    Optional<Path> settings() {
      return Optional.ofNullable(settings).map(Path::of);
    }

    Optional<String> policy() {
      return Optional.ofNullable(policy);
    }

    Optional<Path> report() {
      return Optional.ofNullable(report).map(Path::of);
    }
  }

  @Parameters
  static final class Trace implements Options {
    @ParametersDelegate private final CommonOptions common = new CommonOptions();

    @Parameter(names = "--deployment", description = "Deployment: th-central or luzon")
    String deployment = "th-central";

    @Parameter(names = "--shape", required = true, description = "Shape of the traffic")
    String shape;

    @Parameter(names = "--seed", description = "Seed of the random numbers")
    long seed = 1;

    @Parameter(names = "--scale", description = "Factor by which all times are multiplied")
    double scale = 1;

    @Override
    public CommonOptions common() {
      return common;
    }
  }

  @Parameters
  static final class Verify implements Options {
    @ParametersDelegate private final CommonOptions common = new CommonOptions();

    @Parameter(names = "--schedules", description = "Number of fault schedules to run")
    long schedules = 100_000;

    @Parameter(names = "--seed", description = "Seed of the first schedule")
    long seed = 1;

    @Override
    public CommonOptions common() {
      return common;
    }
  }

  @Parameters
  static final class Demo implements Options {
    @ParametersDelegate private final CommonOptions common = new CommonOptions();

    @Parameter(names = "--keep", description = "Keep running until interrupted")
    boolean keep;

    @Override
    public CommonOptions common() {
      return common;
    }
  }
}
