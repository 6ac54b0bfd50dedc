package io.samphiregauge.daemon.traffic;

import io.samphiregauge.core.Clock;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** What this entry knows first-hand of each backend server; shared by its event loops. */
final class BackendLoadTracker {
  // Until then other signals decide; design section 8 allows 3 s to stop sending new work.
  private static final long FAILURE_COOLDOWN_MS = 1_000;

  private final Clock clock;
  private final ConcurrentHashMap<String, BackendLoad> loads = new ConcurrentHashMap<>();

  BackendLoadTracker(Clock clock) {
    this.clock = clock;
  }

  private static final class BackendLoad {
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicLong cooldownUntilMs = new AtomicLong(Long.MIN_VALUE);
  }

  int runningCalls(String backend) {
    return load(backend).running.get();
  }

  void callStarted(String backend) {
    load(backend).running.incrementAndGet();
  }

  void callEnded(String backend) {
    load(backend).running.decrementAndGet();
  }

  /** Keeps new work away for a while after a failed connection. */
  void markFailed(String backend) {
    load(backend).cooldownUntilMs.set(clock.nowMs() + FAILURE_COOLDOWN_MS);
  }

  boolean isCoolingDown(String backend) {
    return clock.nowMs() < load(backend).cooldownUntilMs.get();
  }

  private BackendLoad load(String backend) {
    return loads.computeIfAbsent(backend, name -> new BackendLoad());
  }
}
