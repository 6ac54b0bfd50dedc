package io.samphiregauge.ctl;

import java.util.ArrayList;
import java.util.List;

/**
 * A table for people.
 *
 * @param heads heads of the columns
 * @param rows cells of the rows, as many as there are heads
 */
record Table(List<String> heads, List<List<String>> rows) {
  private static final String GAP = "  ";

  /** Returns the lines of the table, with columns as wide as their widest cell. */
  List<String> lines() {
    List<List<String>> all = new ArrayList<>();
    all.add(heads);
    all.addAll(rows);
    List<String> lines = new ArrayList<>();
    for (List<String> row : all) {
      lines.add(line(all, row));
    }
    return lines;
  }

  private static String line(List<List<String>> all, List<String> row) {
    StringBuilder line = new StringBuilder();
    for (int column = 0; column < row.size(); column++) {
      String cell = row.get(column);
      line.append(cell).append(" ".repeat(width(all, column) - cell.length())).append(GAP);
    }
    return line.toString().stripTrailing();
  }

  private static int width(List<List<String>> all, int column) {
    return all.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
  }
}
