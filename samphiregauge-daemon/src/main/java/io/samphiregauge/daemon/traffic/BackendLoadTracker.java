package io.samphiregauge.daemon.traffic;

import io.samphiregauge.core.Clock;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Tracks the running calls and the recent failures of each backend server, as observed by this
 * entry. Shared by its event loops; thread-safe.
 */
final class BackendLoadTracker {
  // After the cooldown, other signals, such as leaving servers in the current view, decide whether
  // the server receives calls. Design section 8 allows 3 s to stop sending new work to a server.
  private static final long FAILURE_COOLDOWN_MS = 1_000;

  private final Clock clock;
  private final ConcurrentHashMap<String, BackendLoad> loads = new ConcurrentHashMap<>();

  BackendLoadTracker(Clock clock) {
    this.clock = clock;
  }

  private static final class BackendLoad {
    private final AtomicInteger runningCalls = new AtomicInteger();
    private final AtomicLong cooldownUntilMs = new AtomicLong(Long.MIN_VALUE);
  }

  int runningCalls(String backend) {
    return load(backend).runningCalls.get();
  }

  void callStarted(String backend) {
    load(backend).runningCalls.incrementAndGet();
  }

  void callEnded(String backend) {
    load(backend).runningCalls.decrementAndGet();
  }

  /** Excludes a backend server from new calls for a cooldown period after a failed connection. */
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
