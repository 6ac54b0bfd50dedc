package io.samphiregauge.ctl;

import java.util.ArrayList;
import java.util.List;

/**
 * Result of a command.
 *
 * @param message the result for programs, a message of the schema
 * @param lines the result for people
 */
record Report(Object message, List<String> lines) {
  static Report of(Object message, String... lines) {
    return new Report(message, List.of(lines));
  }

  Report with(Table table) {
    List<String> all = new ArrayList<>(lines);
    all.addAll(table.lines());
    return new Report(message, all);
  }
}
