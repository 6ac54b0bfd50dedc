package io.samphiregauge.replay;

import io.samphiregauge.schema.replay.ReplayReport;
import io.samphiregauge.schema.replay.TimelinePoint;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Writes reports as an HTML page with a table and plots over time. */
final class HtmlReportWriter {
  private static final int WIDTH_PX = 900;
  private static final int HEIGHT_PX = 360;
  private static final double MS_PER_S = 1_000;
  private static final double MICROS_PER_UNIT = 1_000_000;

  private final Path directory;
  private final StringBuilder html = new StringBuilder();

  private HtmlReportWriter(Path directory) {
    this.directory = directory;
  }

  /**
   * Writes the page and its plots.
   *
   * @param reports reports of one trace, at least one
   * @param directory existing directory
   * @return path of the HTML file
   * @throws IOException if a file cannot be written
   */
  static Path write(List<ReplayReport> reports, Path directory) throws IOException {
    return new HtmlReportWriter(directory).write(reports);
  }

  private Path write(List<ReplayReport> reports) throws IOException {
    List<ReplayReport> reportsWithTimeline =
        reports.stream().filter(r -> !r.getTimeline().isEmpty()).toList();
    String title = "Replay of " + reports.get(0).getTrace();
    html.append("<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>")
        .append(ReportTable.escapeHtml(title))
        .append("</title></head><body>\n<h1>")
        .append(ReportTable.escapeHtml(title))
        .append("</h1>\n")
        .append(ReportTable.toHtml(reports));
    addPlot(
        "goodput",
        "good / offered",
        seriesByPolicy(reportsWithTimeline, HtmlReportWriter::goodput));
    addPlot(
        "cost",
        "cost in each interval",
        seriesByPolicy(reportsWithTimeline, p -> p.getCostMicros() / MICROS_PER_UNIT));
    for (ReplayReport report : reportsWithTimeline) {
      addPlot("roles-" + report.getPolicy(), "engines by role", seriesByRole(report));
      addPlot("teams-" + report.getPolicy(), "service by team, s", seriesByTeam(report));
    }
    html.append("</body></html>\n");
    return Files.writeString(directory.resolve("index.html"), html);
  }

  private static double goodput(TimelinePoint point) {
    return (double) point.getGood() / Math.max(1, point.getOffered());
  }

  private static XYSeriesCollection seriesByPolicy(
      List<ReplayReport> reports, ToDoubleFunction<TimelinePoint> value) {
    XYSeriesCollection collection = new XYSeriesCollection();
    reports.forEach(r -> collection.addSeries(series(r.getPolicy(), r, value)));
    return collection;
  }

  private static XYSeriesCollection seriesByRole(ReplayReport report) {
    XYSeriesCollection collection = new XYSeriesCollection();
    collection.addSeries(series("mixed", report, TimelinePoint::getMixed));
    collection.addSeries(series("prefill", report, TimelinePoint::getPrefill));
    collection.addSeries(series("decode", report, TimelinePoint::getDecode));
    return collection;
  }

  private static XYSeriesCollection seriesByTeam(ReplayReport report) {
    XYSeriesCollection collection = new XYSeriesCollection();
    for (int i = 0; i < report.getTeams().size(); i++) {
      int team = i;
      collection.addSeries(
          series(report.getTeams().get(i).getTeam(), report, p -> p.getTeamCost().get(team)));
    }
    return collection;
  }

  private static XYSeries series(
      String name, ReplayReport report, ToDoubleFunction<TimelinePoint> value) {
    XYSeries series = new XYSeries(name);
    report
        .getTimeline()
        .forEach(point -> series.add(point.getAtMs() / MS_PER_S, value.applyAsDouble(point)));
    return series;
  }

  /** Writes a plot as a PNG file, and adds it to the page. */
  private void addPlot(String name, String yAxisLabel, XYSeriesCollection data) throws IOException {
    JFreeChart chart =
        ChartFactory.createXYLineChart(
            name, "time, s", yAxisLabel, data, PlotOrientation.VERTICAL, true, false, false);
    Path file = directory.resolve(name + ".png");
    ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH_PX, HEIGHT_PX);
    html.append("<p><img src=\"").append(name).append(".png\" alt=\"").append(name).append("\">");
    html.append("</p>\n");
  }
}
