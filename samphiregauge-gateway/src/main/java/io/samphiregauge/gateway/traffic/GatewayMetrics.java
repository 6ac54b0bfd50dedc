package io.samphiregauge.gateway.traffic;

import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;

/** Holds the counters and latencies of an entry. Thread-safe. */
public final class GatewayMetrics {
  private final MetricRegistry registry = new MetricRegistry();

  /** Returns the registry that contains all metrics, for export. */
  public MetricRegistry registry() {
    return registry;
  }

  void increment(String name) {
    registry.counter(name).inc();
  }

  void add(String name, long count) {
    registry.counter(name).inc(count);
  }

  /** Sets a value that may also fall. */
  void set(String name, long value) {
    registry.gauge(name, () -> new DefaultSettableGauge<>(0L)).setValue(value);
  }

  void recordDurationMs(String name, long durationMs) {
    registry.timer(name).update(durationMs, TimeUnit.MILLISECONDS);
  }
}
