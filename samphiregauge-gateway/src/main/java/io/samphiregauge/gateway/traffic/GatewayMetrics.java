package io.samphiregauge.gateway.traffic;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Holds the counters and latencies of an entry. Thread-safe. */
public final class GatewayMetrics {
  private final MetricRegistry registry = new MetricRegistry();
  private final Map<String, AtomicLong> gauges = new ConcurrentHashMap<>();

  /** Returns the registry that contains all metrics, for export. */
  public MetricRegistry registry() {
    return registry;
  }

  void increment(String name) {
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

  private void setGauge(String name, long value) {
    gauges
        .computeIfAbsent(
            name,
            added -> {
              AtomicLong current = new AtomicLong();
              registry.gauge(added, () -> current::get);
              return current;
            })
        .set(value);
  }

  void recordDurationMs(String name, long durationMs) {
    registry.timer(name).update(durationMs, TimeUnit.MILLISECONDS);
  }
}
