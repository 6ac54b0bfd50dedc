package io.samphiregauge.ctl;

import java.util.ArrayList;
import java.util.List;

/**
 * Result of a command.
 *
 * @param message the result for programs, a message of the schema
 * @param lines the result for people
 * @param exitStatus exit status of the process
 */
record Report(Object message, List<String> lines, int exitStatus) {
  static Report of(Object message, String... lines) {
    return new Report(message, List.of(lines), Main.EXIT_SUCCESS);
  }

  Report withTable(Table table) {
    List<String> all = new ArrayList<>(lines);
    all.addAll(table.lines());
    return new Report(message, all, exitStatus);
  }
}
