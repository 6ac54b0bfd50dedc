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

/** An HTML page with the table and with plots over time. */
final class HtmlReport {
  private static final int WIDTH_PX = 900;
  private static final int HEIGHT_PX = 360;
  private static final double MS_PER_S = 1_000;
  private static final double MICROS = 1_000_000;

  private final Path directory;
  private final StringBuilder page = new StringBuilder();

  private HtmlReport(Path directory) {
    this.directory = directory;
  }

  static Path write(List<ReplayReport> reports, Path directory) throws IOException {
    return new HtmlReport(directory).write(reports);
  }

  private Path write(List<ReplayReport> reports) throws IOException {
    List<ReplayReport> timed = reports.stream().filter(r -> !r.getTimeline().isEmpty()).toList();
    String title = "Replay of " + reports.get(0).getTrace();
    page.append("<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>")
        .append(Tables.escaped(title))
        .append("</title></head><body>\n<h1>")
        .append(Tables.escaped(title))
        .append("</h1>\n")
        .append(Tables.html(reports));
    plot("goodput", "good / offered", byPolicy(timed, HtmlReport::goodput));
    plot("cost", "cost in each interval", byPolicy(timed, p -> p.getCostMicros() / MICROS));
    for (ReplayReport report : timed) {
      plot("roles-" + report.getPolicy(), "engines by role", roles(report));
      plot("teams-" + report.getPolicy(), "service by team, s", teams(report));
    }
    page.append("</body></html>\n");
    return Files.writeString(directory.resolve("index.html"), page);
  }

  private static double goodput(TimelinePoint point) {
    return (double) point.getGood() / Math.max(1, point.getOffered());
  }

  private static XYSeriesCollection byPolicy(
      List<ReplayReport> reports, ToDoubleFunction<TimelinePoint> value) {
    XYSeriesCollection all = new XYSeriesCollection();
    reports.forEach(r -> all.addSeries(series(r.getPolicy(), r, value)));
    return all;
  }

  private static XYSeriesCollection roles(ReplayReport report) {
    XYSeriesCollection all = new XYSeriesCollection();
    all.addSeries(series("mixed", report, TimelinePoint::getMixed));
    all.addSeries(series("prefill", report, TimelinePoint::getPrefill));
    all.addSeries(series("decode", report, TimelinePoint::getDecode));
    return all;
  }

  private static XYSeriesCollection teams(ReplayReport report) {
    XYSeriesCollection all = new XYSeriesCollection();
    for (int i = 0; i < report.getTeams().size(); i++) {
      int team = i;
      all.addSeries(
          series(report.getTeams().get(i).getTeam(), report, p -> p.getTeamCost().get(team)));
    }
    return all;
  }

  private static XYSeries series(
      String name, ReplayReport report, ToDoubleFunction<TimelinePoint> value) {
    XYSeries series = new XYSeries(name);
    report
        .getTimeline()
        .forEach(point -> series.add(point.getAtMs() / MS_PER_S, value.applyAsDouble(point)));
    return series;
  }

  private void plot(String name, String unit, XYSeriesCollection data) throws IOException {
    JFreeChart chart =
        ChartFactory.createXYLineChart(
            name, "time, s", unit, data, PlotOrientation.VERTICAL, true, false, false);
    Path file = directory.resolve(name + ".png");
    ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH_PX, HEIGHT_PX);
    page.append("<p><img src=\"").append(name).append(".png\" alt=\"").append(name).append("\">");
    page.append("</p>\n");
  }
}
