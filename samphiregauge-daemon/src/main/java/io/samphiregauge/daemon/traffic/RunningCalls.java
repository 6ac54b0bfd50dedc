package io.samphiregauge.daemon.traffic;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the calls that have not ended; safe for all threads. */
final class RunningCalls {
  private final AtomicInteger count = new AtomicInteger();
  private final CompletableFuture<Void> none = new CompletableFuture<>();
  private volatile boolean awaited;

  void begin() {
    count.incrementAndGet();
  }

  void end() {
    if (count.decrementAndGet() == 0 && awaited) {
      none.complete(null);
    }
  }

  int count() {
    return count.get();
  }

  /** Returns what completes as soon as no call runs; to be asked when no call can begin. */
  CompletableFuture<Void> whenNone() {
    awaited = true;
    if (count.get() == 0) {
      none.complete(null);
    }
    return none;
  }
}
