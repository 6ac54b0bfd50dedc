package io.samphiregauge.daemon.traffic;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Records whether the entry is draining, and until when callers may still use it because of an
 * earlier directory response. Thread-safe.
 */
final class DrainState {
  private final AtomicLong directoryValidUntilMs = new AtomicLong(Long.MIN_VALUE);
  private volatile boolean draining;

  boolean isDraining() {
    return draining;
  }

  void begin() {
    draining = true;
  }

  /** Records that a directory response allows a caller to use this entry until the given time. */
  void extendDirectoryValidity(long untilMs) {
    directoryValidUntilMs.accumulateAndGet(untilMs, Math::max);
  }

  long directoryValidUntilMs() {
    return directoryValidUntilMs.get();
  }
}
