package io.samphiregauge.daemon.traffic;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAccumulator;
import java.util.function.Supplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counters and latency histograms of the calls to this entry. Thread-safe. */
final class TrafficMetrics {
  private static final long MAX_LATENCY_US = TimeUnit.HOURS.toMicros(1);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int STATUS_CLASSES = 6;

  private final MetricRegistry registry = new MetricRegistry();
  private final Histogram firstByteUs = new ConcurrentHistogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
  private final Histogram responseEndUs =
      new ConcurrentHistogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
  private final LongAccumulator maxPendingBytes = new LongAccumulator(Math::max, 0);
  private final Counter[] responsesByStatusClass = new Counter[STATUS_CLASSES];
  private final Counter requests = registry.counter("requests");
  private final Counter retries = registry.counter("retries");
  private final Counter resumes = registry.counter("resumed_streams");
  private final Counter pauses = registry.counter("reads_paused_for_slow_callers");

  TrafficMetrics() {
    for (int i = 0; i < STATUS_CLASSES; i++) {
      responsesByStatusClass[i] = registry.counter("answers_%dxx".formatted(i));
    }
    addLatency("first_byte_us", firstByteUs);
    addLatency("whole_answer_us", responseEndUs);
    addGauge("max_pending_bytes_of_a_caller", maxPendingBytes::get);
  }

  void addGauge(String name, Supplier<Number> value) {
    registry.gauge(name, () -> value::get);
  }

  void countRequest() {
    requests.inc();
  }

  void countRetry() {
    retries.inc();
  }

  void countResume() {
    resumes.inc();
  }

  void countPause() {
    pauses.inc();
  }

  /** Records the number of bytes buffered for one caller; only the maximum is kept. */
  void recordPendingBytes(long bytes) {
    maxPendingBytes.accumulate(bytes);
  }

  void recordResponseStart(int status, long startNanos) {
    responsesByStatusClass[Math.min(status / 100, STATUS_CLASSES - 1)].inc();
    recordLatency(firstByteUs, startNanos);
  }

  void recordResponseEnd(long startNanos) {
    recordLatency(responseEndUs, startNanos);
  }

  long count(String name) {
    return registry.counter(name).getCount();
  }

  long maxPendingBytes() {
    return maxPendingBytes.get();
  }

  /** Returns all values by name, for the response of {@code /metrics}. */
  Map<String, Object> values() {
    Map<String, Object> values = new TreeMap<>();
    for (Map.Entry<String, Metric> metric : registry.getMetrics().entrySet()) {
      if (metric.getValue() instanceof Counter counter) {
        values.put(metric.getKey(), counter.getCount());
      } else if (metric.getValue() instanceof Gauge<?> gauge) {
        values.put(metric.getKey(), gauge.getValue());
      }
    }
    return values;
  }

  private void addLatency(String name, Histogram histogram) {
    addGauge(name + "_count", histogram::getTotalCount);
    addGauge(name + "_p50", () -> histogram.getValueAtPercentile(50));
    addGauge(name + "_p95", () -> histogram.getValueAtPercentile(95));
    addGauge(name + "_p99", () -> histogram.getValueAtPercentile(99));
    addGauge(name + "_max", histogram::getMaxValue);
  }

  private static void recordLatency(Histogram histogram, long startNanos) {
    long us = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
    histogram.recordValue(Math.min(us, MAX_LATENCY_US));
  }
}
