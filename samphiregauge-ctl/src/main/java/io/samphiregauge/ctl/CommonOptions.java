package io.samphiregauge.ctl;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Options that every command accepts. */
final class CommonOptions {
  static final String LOG_VARIABLE = "SAMPHIRE_LOG";

  @Parameter(names = "--json", description = "Print JSON instead of text")
  boolean json;

  @Parameter(
      names = "--log",
      description = "Base URL of the log service (default: $" + LOG_VARIABLE + ")")
  private String log;

  @Parameter(
      names = "--entry",
      description = "Address of an entry; may be repeated (default: entries in the log)")
  private List<String> entries = new ArrayList<>();

  @Parameter(names = "--help", help = true, description = "Print the usage of the command")
  boolean help;

  List<String> entries() {
    return entries;
  }

  Optional<String> logUrl(Map<String, String> environment) {
    return Optional.ofNullable(log).or(() -> Optional.ofNullable(environment.get(LOG_VARIABLE)));
  }
}
