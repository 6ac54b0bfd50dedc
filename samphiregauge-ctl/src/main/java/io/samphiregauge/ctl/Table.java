package io.samphiregauge.ctl;

import java.util.ArrayList;
import java.util.List;

/**
 * A table that is printed as aligned text.
 *
 * @param headers headers of the columns
 * @param rows rows, each with one cell for each header
 */
record Table(List<String> headers, List<List<String>> rows) {
  private static final String COLUMN_SEPARATOR = "  ";

  /** Formats the table as lines; each column is as wide as its widest cell. */
  List<String> lines() {
    List<List<String>> allRows = new ArrayList<>();
    allRows.add(headers);
    allRows.addAll(rows);
    List<String> lines = new ArrayList<>();
    for (List<String> row : allRows) {
      lines.add(formatRow(allRows, row));
    }
    return lines;
  }

  private static String formatRow(List<List<String>> allRows, List<String> row) {
    StringBuilder line = new StringBuilder();
    for (int column = 0; column < row.size(); column++) {
      String cell = row.get(column);
      line.append(cell)
          .append(" ".repeat(columnWidth(allRows, column) - cell.length()))
          .append(COLUMN_SEPARATOR);
    }
    return line.toString().stripTrailing();
  }

  private static int columnWidth(List<List<String>> allRows, int column) {
    return allRows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
  }
}
