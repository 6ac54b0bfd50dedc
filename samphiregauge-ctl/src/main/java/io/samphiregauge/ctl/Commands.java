package io.samphiregauge.ctl;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.ctl.CommandOptions.Options;
import java.util.LinkedHashMap;
import java.util.Map;

/** The commands by name. A new command is one more line in {@link #all}. */
final class Commands {
  private Commands() {}

  /**
   * A command with the options that JCommander fills.
   *
   * @param description one line for the usage
   * @param options filled before the command runs
   * @param command reads the options and runs
   */
  record Registered(String description, Options options, Command command) {}

  /** Makes the commands, with options that are not filled yet. */
  static Map<String, Registered> all() {
    Map<String, Registered> commands = new LinkedHashMap<>();
    var check = new CommandOptions.WithFile();
    commands.put(
        "check",
        new Registered(
            "Check a release note file",
            check,
            session -> NoteCommands.check(session, check.file())));
    var apply = new CommandOptions.WithFile();
    commands.put(
        "apply",
        new Registered(
            "Apply a release note file",
            apply,
            session -> NoteCommands.apply(session, apply.file())));
    commands.put(
        "history",
        new Registered(
            "List the release notes", new CommandOptions.Plain(), ViewCommands::history));
    var status = new CommandOptions.Status();
    commands.put(
        "status",
        new Registered(
            "Show entries and leases",
            status,
            session -> ViewCommands.status(session, status.entries())));
    var drain = new CommandOptions.WithBackend();
    commands.put(
        "drain",
        new Registered(
            "Take a backend server out of service",
            drain,
            session -> NoteCommands.drain(session, drain.backend())));
    commands.put(
        "usage",
        new Registered("List the sealed usage", new CommandOptions.Plain(), ViewCommands::usage));
    var keys = new CommandOptions.Keys();
    commands.put("keys", new Registered("Make a key", keys, session -> keys(session, keys)));
    return commands;
  }

  private static Result<Report> keys(Session session, CommandOptions.Keys options) {
    return options.action().equals("new")
        ? NoteCommands.newKey(session, options.team())
        : Result.failed(
            new CtlFailure.Usage("keys: unknown action \"%s\".".formatted(options.action())));
  }
}
