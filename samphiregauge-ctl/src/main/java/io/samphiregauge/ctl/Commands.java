package io.samphiregauge.ctl;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.ctl.CommandOptions.Options;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Registry of the commands by name. A new command is registered in {@link #addOperatorCommands} or
 * {@link #addSimulations}.
 */
final class Commands {
  private final Map<String, RegisteredCommand> byName = new LinkedHashMap<>();

  private Commands() {}

  /**
   * A command and its options.
   *
   * @param description one line for the list of commands
   * @param options filled by JCommander before the command runs
   * @param command runs with the options as filled
   */
  record RegisteredCommand(String description, Options options, Command command) {}

  /** A command that receives its options as a parameter. */
  @FunctionalInterface
  private interface CommandWithOptions<T> {
    Result<Report> run(Session session, T options);
  }

  /** Creates all commands in the order of the help text; JCommander fills their options later. */
  static Map<String, RegisteredCommand> createAll() {
    Commands commands = new Commands();
    commands.addOperatorCommands();
    commands.addSimulations();
    return commands.byName;
  }

  private void addOperatorCommands() {
    add(
        "check",
        "Check a release note file",
        new CommandOptions.FileArgument(),
        (session, options) -> NoteCommands.check(session, options.file()));
    add(
        "apply",
        "Apply a release note file",
        new CommandOptions.FileArgument(),
        (session, options) -> NoteCommands.apply(session, options.file()));
    add(
        "history",
        "List the release notes",
        new CommandOptions.NoArguments(),
        (session, options) -> ViewCommands.history(session));
    add(
        "status",
        "Show entries and leases",
        new CommandOptions.NoArguments(),
        (session, options) -> ViewCommands.status(session));
    add(
        "drain",
        "Take a backend server out of service",
        new CommandOptions.BackendArgument(),
        (session, options) -> NoteCommands.drain(session, options.backend()));
    add(
        "usage",
        "List the sealed usage",
        new CommandOptions.NoArguments(),
        (session, options) -> ViewCommands.usage(session));
    add(
        "explain",
        "Show the history of a request from entry logs",
        new CommandOptions.Explain(),
        (session, options) -> ViewCommands.explain(options.id(), options.logs()));
    add("keys", "Make a key", new CommandOptions.Keys(), Commands::keys);
  }

  private void addSimulations() {
    add("demo", "Run the whole system once", new CommandOptions.Demo(), Demo::run);
    add("replay", "Replay a trace", new CommandOptions.Replay(), SimulationCommands::replay);
    add("trace", "Write a trace", new CommandOptions.Trace(), SimulationCommands::trace);
    add("verify", "Run fault schedules", new CommandOptions.Verify(), SimulationCommands::verify);
  }

  private <T extends Options> void add(
      String name, String description, T options, CommandWithOptions<T> command) {
    byName.put(
        name,
        new RegisteredCommand(description, options, session -> command.run(session, options)));
  }

  private static Result<Report> keys(Session session, CommandOptions.Keys options) {
    return options.action().equals("new")
        ? NoteCommands.newKey(session, options.team())
        : Result.failed(
            new CtlFailure.Usage(
                "keys: unknown action \"%s\", expected \"new\".".formatted(options.action())));
  }
}
