package io.samphiregauge.ctl;

import java.util.ArrayList;
import java.util.List;

/**
 * Output of a command and its exit status.
 *
 * @param message the result that {@code --json} prints, a message of the schema
 * @param lines the result as lines of text
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
