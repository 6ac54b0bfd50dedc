package io.samphiregauge.core.suspect;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Permits one request with a blocked trait. Thread-safe: successive snapshots share the permit, so
 * that it is used once even if traffic reads an old snapshot.
 */
final class TrialPermit {
  private final AtomicBoolean used = new AtomicBoolean();

  /** Returns whether the caller may use the permit, which only the first call may. */
  boolean tryAcquire() {
    return used.compareAndSet(false, true);
  }
}
