package io.samphiregauge.gateway.traffic;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;

/** Counters and latencies of an entry; safe for all threads. */
public final class GatewayMetrics {
  private final MetricRegistry registry = new MetricRegistry();

  /** Returns all metrics. */
  public MetricRegistry registry() {
    return registry;
  }

  void increment(String name) {
    registry.counter(name).inc();
  }

  void recordDurationMs(String name, long durationMs) {
    registry.timer(name).update(durationMs, TimeUnit.MILLISECONDS);
  }
}
