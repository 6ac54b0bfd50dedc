package io.samphiregauge.daemon.traffic;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the calls that have started but not finished, so that a graceful shutdown can wait for
 * them. Thread-safe.
 */
final class RunningCalls {
  private final AtomicInteger count = new AtomicInteger();
  private final CompletableFuture<Void> idle = new CompletableFuture<>();
  private volatile boolean idleAwaited;

  void callStarted() {
    count.incrementAndGet();
  }

  void callEnded() {
    if (count.decrementAndGet() == 0 && idleAwaited) {
      idle.complete(null);
    }
  }

  int count() {
    return count.get();
  }

  /**
   * Returns a future that completes once no call is running. Must be called only when no new call
   * can start.
   */
  CompletableFuture<Void> whenIdle() {
    idleAwaited = true;
    if (count.get() == 0) {
      idle.complete(null);
    }
    return idle;
  }
}
