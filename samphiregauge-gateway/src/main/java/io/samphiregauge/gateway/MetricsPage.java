package io.samphiregauge.gateway;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import io.samphiregauge.gateway.PageServer.Page;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Renders counters and latencies as plain text with one value per line. */
public final class MetricsPage {
  private static final String PATH = "/metrics";
  private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

  private MetricsPage() {}

  /**
   * Returns a handler that renders the metrics.
   *
   * @param registry the metrics
   * @return function that maps the path of the page to the current metrics, and any other path to
   *     status 404
   */
  public static Function<String, Page> handler(MetricRegistry registry) {
    return uri ->
        uri.equals(PATH)
            ? new Page(200, "text/plain", render(registry))
            : new Page(404, "text/plain", "The metrics are at " + PATH + ".\n");
  }

  private static String render(MetricRegistry registry) {
    StringBuilder text = new StringBuilder();
    registry
        .getCounters()
        .forEach((name, counter) -> appendLine(text, name + "_total", counter.getCount()));
    registry
        .getGauges()
        .forEach((name, gauge) -> appendLine(text, name, (Number) gauge.getValue()));
    registry
        .getTimers()
        .forEach(
            (name, timer) -> {
              Snapshot latency = timer.getSnapshot();
              appendLine(text, name + "_count", timer.getCount());
              appendLine(text, name + "_ms_p50", latency.getMedian() / NANOS_PER_MS);
              appendLine(text, name + "_ms_p95", latency.get95thPercentile() / NANOS_PER_MS);
              appendLine(text, name + "_ms_p99", latency.get99thPercentile() / NANOS_PER_MS);
            });
    return text.toString();
  }

  private static void appendLine(StringBuilder text, String name, Number value) {
    text.append("samphiregauge_").append(name.replace('.', '_')).append(' ').append(value);
    text.append('\n');
  }
}
