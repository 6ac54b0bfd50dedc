package io.samphiregauge.daemon.traffic;

import io.samphiregauge.core.Clock;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** What this entry knows first-hand of each backend server; shared by its event loops. */
final class BackendLoads {
  // Until then other signals decide; design section 8 allows 3 s to stop sending new work.
  private static final long FAILURE_HOLD_MS = 1_000;

  private final Clock clock;
  private final ConcurrentHashMap<String, Load> loads = new ConcurrentHashMap<>();

  BackendLoads(Clock clock) {
    this.clock = clock;
  }

  private static final class Load {
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicLong heldUntilMs = new AtomicLong(Long.MIN_VALUE);
  }

  int running(String backend) {
    return load(backend).running.get();
  }

  void begin(String backend) {
    load(backend).running.incrementAndGet();
  }

  void end(String backend) {
    load(backend).running.decrementAndGet();
  }

  /** Keeps new work away for a while after a failed connection. */
  void failed(String backend) {
    load(backend).heldUntilMs.set(clock.nowMs() + FAILURE_HOLD_MS);
  }

  boolean isHeld(String backend) {
    return clock.nowMs() < load(backend).heldUntilMs.get();
  }

  private Load load(String backend) {
    return loads.computeIfAbsent(backend, name -> new Load());
  }
}
