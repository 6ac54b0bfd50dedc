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

  /** Adds 1 to a counter. */
  public void increment(String name) {
    registry.counter(name).inc();
  }

  void add(String name, long amount) {
    registry.counter(name).inc(amount);
  }

  long count(String name) {
    return registry.counter(name).getCount();
  }

  /** Sets a value that is shown as it was set last. */
  void setGauge(String name, long value) {
    gauges.computeIfAbsent(name, this::registerGauge).set(value);
  }

  private AtomicLong registerGauge(String name) {
    AtomicLong value = new AtomicLong();
    registry.gauge(name, () -> value::get);
    return value;
  }

  void recordDurationMs(String name, long durationMs) {
    registry.timer(name).update(durationMs, TimeUnit.MILLISECONDS);
  }
}
