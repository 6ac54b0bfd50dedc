package io.samphiregauge.daemon.traffic;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the calls that have not ended; safe for all threads. */
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

  /** Returns what completes as soon as no call runs; to be asked when no call can begin. */
  CompletableFuture<Void> whenIdle() {
    idleAwaited = true;
    if (count.get() == 0) {
      idle.complete(null);
    }
    return idle;
  }
}
