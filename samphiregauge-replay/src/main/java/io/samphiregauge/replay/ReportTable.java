package io.samphiregauge.replay;

import io.samphiregauge.schema.replay.ReplayReport;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;

/** Formats reports as a table, in plain text or HTML. */
final class ReportTable {
  private static final double MICROS_PER_UNIT = 1_000_000;

  /** Column with its title and the function that formats a report's cell. */
  record Column(String title, Function<ReplayReport, String> cell) {}

  private static final List<Column> COLUMNS =
      List.of(
          new Column("policy", ReplayReport::getPolicy),
          new Column("goodput", r -> formatNumber(r.getGoodput(), 3)),
          new Column("offered", r -> String.valueOf(r.getOffered())),
          new Column("late", r -> String.valueOf(r.getLate())),
          new Column("failed", r -> String.valueOf(r.getFailed())),
          new Column("first p50/p95/p99 ms", r -> formatLatency(r.getFirstToken())),
          new Column("between p50/p95/p99 ms", r -> formatLatency(r.getBetweenTokens())),
          new Column("role changes", r -> String.valueOf(r.getRoleChanges())),
          new Column(
              "worst team", r -> r.getWorstTeam() + " " + formatNumber(r.getWorstTeamShare(), 3)),
          new Column(
              "cost/1000", r -> formatNumber(r.getCostPer1000GoodMicros() / MICROS_PER_UNIT, 4)),
          new Column("reclaimable", r -> formatNumber(r.getReclaimableShare(), 2)),
          new Column("wasted prefill", r -> String.valueOf(r.getWastedPrefillTokens())),
          new Column("refused true/false", r -> r.getRefusedNotRun() + "/" + r.getRefusedFalse()),
          new Column("harmed", r -> String.valueOf(r.getHarmedByReclaim())),
          new Column("resumed", r -> String.valueOf(r.getResumed())),
          new Column("crashes", r -> String.valueOf(r.getEngineCrashes())));

  private ReportTable() {}

  /** Returns a text table whose columns are padded to equal width. */
  static String toText(List<ReplayReport> reports) {
    List<List<String>> rows = toRows(reports);
    StringBuilder text = new StringBuilder();
    for (List<String> row : rows) {
      for (int i = 0; i < row.size(); i++) {
        int column = i;
        int width = rows.stream().mapToInt(r -> r.get(column).length()).max().orElse(0);
        text.append(i == 0 ? "" : "  ").append(padRight(row.get(i), width));
      }
      text.append('\n');
    }
    return text.toString();
  }

  /** Returns an HTML table with a header row. */
  static String toHtml(List<ReplayReport> reports) {
    StringBuilder html = new StringBuilder("<table>\n");
    String tag = "th";
    for (List<String> row : toRows(reports)) {
      html.append("<tr>");
      for (String cell : row) {
        html.append('<').append(tag).append('>').append(escapeHtml(cell));
        html.append("</").append(tag).append('>');
      }
      html.append("</tr>\n");
      tag = "td";
    }
    return html.append("</table>\n").toString();
  }

  /** Escapes text for HTML element content; quotes are not escaped. */
  static String escapeHtml(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }

  private static List<List<String>> toRows(List<ReplayReport> reports) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(COLUMNS.stream().map(Column::title).toList());
    for (ReplayReport report : reports) {
      rows.add(COLUMNS.stream().map(column -> column.cell().apply(report)).toList());
    }
    return rows;
  }

  private static String padRight(String text, int width) {
    return text + " ".repeat(width - text.length());
  }

  private static String formatLatency(io.samphiregauge.schema.replay.Latency latency) {
    return formatNumber(latency.getP50Ms(), 0)
        + "/"
        + formatNumber(latency.getP95Ms(), 0)
        + "/"
        + formatNumber(latency.getP99Ms(), 0);
  }

  private static String formatNumber(double value, int digits) {
    return String.format(Locale.ROOT, "%." + digits + "f", value);
  }
}
