package io.samphiregauge.daemon.traffic;

import java.util.concurrent.atomic.AtomicLong;

/** Whether the entry is leaving, and how long callers may still come. */
final class DrainState {
  private final AtomicLong directoryValidUntilMs = new AtomicLong(Long.MIN_VALUE);
  private volatile boolean draining;

  boolean isDraining() {
    return draining;
  }

  void begin() {
    draining = true;
  }

  /** Notes that a caller was told to use this entry until a time. */
  void extendDirectoryValidity(long untilMs) {
    directoryValidUntilMs.accumulateAndGet(untilMs, Math::max);
  }

  long directoryValidUntilMs() {
    return directoryValidUntilMs.get();
  }
}
