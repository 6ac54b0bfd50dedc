package io.samphiregauge.replay;

import io.samphiregauge.schema.replay.ReplayReport;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;

/** The table of a replay, as text and as HTML. */
final class Tables {
  private static final double MICROS = 1_000_000;

  record Column(String title, Function<ReplayReport, String> cell) {}

  private static final List<Column> COLUMNS =
      List.of(
          new Column("policy", ReplayReport::getPolicy),
          new Column("goodput", r -> number(r.getGoodput(), 3)),
          new Column("offered", r -> String.valueOf(r.getOffered())),
          new Column("late", r -> String.valueOf(r.getLate())),
          new Column("failed", r -> String.valueOf(r.getFailed())),
          new Column("first p50/p95/p99 ms", r -> latency(r.getFirstToken())),
          new Column("between p50/p95/p99 ms", r -> latency(r.getBetweenTokens())),
          new Column("role changes", r -> String.valueOf(r.getRoleChanges())),
          new Column("worst team", r -> r.getWorstTeam() + " " + number(r.getWorstTeamShare(), 3)),
          new Column("cost/1000", r -> number(r.getCostPer1000GoodMicros() / MICROS, 4)),
          new Column("reclaimable", r -> number(r.getReclaimableShare(), 2)),
          new Column("wasted prefill", r -> String.valueOf(r.getWastedPrefillTokens())),
          new Column("refused true/false", r -> r.getRefusedNotRun() + "/" + r.getRefusedFalse()),
          new Column("harmed", r -> String.valueOf(r.getHarmedByReclaim())),
          new Column("resumed", r -> String.valueOf(r.getResumed())),
          new Column("crashes", r -> String.valueOf(r.getEngineCrashes())));

  private Tables() {}

  static String text(List<ReplayReport> reports) {
    List<List<String>> rows = rows(reports);
    StringBuilder text = new StringBuilder();
    for (List<String> row : rows) {
      for (int i = 0; i < row.size(); i++) {
        int column = i;
        int width = rows.stream().mapToInt(r -> r.get(column).length()).max().orElse(0);
        text.append(i == 0 ? "" : "  ").append(padded(row.get(i), width));
      }
      text.append('\n');
    }
    return text.toString();
  }

  static String html(List<ReplayReport> reports) {
    StringBuilder html = new StringBuilder("<table>\n");
    String tag = "th";
    for (List<String> row : rows(reports)) {
      html.append("<tr>");
      for (String cell : row) {
        html.append('<').append(tag).append('>').append(escaped(cell));
        html.append("</").append(tag).append('>');
      }
      html.append("</tr>\n");
      tag = "td";
    }
    return html.append("</table>\n").toString();
  }

  static String escaped(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }

  private static List<List<String>> rows(List<ReplayReport> reports) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(COLUMNS.stream().map(Column::title).toList());
    for (ReplayReport report : reports) {
      rows.add(COLUMNS.stream().map(column -> column.cell().apply(report)).toList());
    }
    return rows;
  }

  private static String padded(String text, int width) {
    return text + " ".repeat(width - text.length());
  }

  private static String latency(io.samphiregauge.schema.replay.Latency latency) {
    return number(latency.getP50Ms(), 0)
        + "/"
        + number(latency.getP95Ms(), 0)
        + "/"
        + number(latency.getP99Ms(), 0);
  }

  private static String number(double value, int digits) {
    return String.format(Locale.ROOT, "%." + digits + "f", value);
  }
}
