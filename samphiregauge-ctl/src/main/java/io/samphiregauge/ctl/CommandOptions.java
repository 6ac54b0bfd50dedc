package io.samphiregauge.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Options of the commands, in the form that JCommander fills. */
final class CommandOptions {
  private CommandOptions() {}

  /** Options of a command. */
  interface Options {
    CommonOptions common();
  }

  @Parameters
  static final class Plain implements Options {
    @ParametersDelegate private final CommonOptions common = new CommonOptions();

    @Override
    public CommonOptions common() {
      return common;
    }
  }

  @Parameters
  static final class WithFile implements Options {
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
  static final class WithBackend implements Options {
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
  static final class Status implements Options {
    @ParametersDelegate private final CommonOptions common = new CommonOptions();

    @Parameter(
        names = "--entry",
        description = "Address of an entry to ask; may be repeated; works without the log")
    private List<String> entries = new ArrayList<>();

    @Override
    public CommonOptions common() {
      return common;
    }

    List<String> entries() {
      return entries;
    }
  }

  @Parameters
  static final class Keys implements Options {
    @ParametersDelegate private final CommonOptions common = new CommonOptions();

    @Parameter(description = "new", required = true)
    private String action;

    @Parameter(names = "--team", description = "Team that gets the key, by a note")
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
}
