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

  /** Adds 1 to a counter. */
  public void increment(String name) {
    registry.counter(name).inc();
  }

  /**
   * Sets the gauges of the requests that wait for a service.
   *
   * @param service name of the service
   * @param requests number of requests
   * @param bytes memory that they occupy
   * @param oldestMs time for which the oldest one has waited, in milliseconds
   */
  void setQueue(String service, int requests, long bytes, long oldestMs) {
    setGauge("waiting." + service, requests);
    setGauge("waiting_bytes." + service, bytes);
    setGauge("waiting_oldest_ms." + service, oldestMs);
  }

  void add(String name, long amount) {
    registry.counter(name).inc(amount);
  }

  long count(String name) {
    return registry.counter(name).getCount();
  }

  /** Sets a value that is shown as it was set last. */
  void setGauge(String name, long value) {
    registry.gauge(name, () -> new DefaultSettableGauge<>(0L)).setValue(value);
  }

  void recordDurationMs(String name, long durationMs) {
    registry.timer(name).update(durationMs, TimeUnit.MILLISECONDS);
  }
}
