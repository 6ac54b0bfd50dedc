package io.samphiregauge.core;

/** A monotonic clock with millisecond resolution. */
@FunctionalInterface
public interface Clock {
  /**
   * Returns the time elapsed since an arbitrary origin.
   *
   * @return milliseconds; never less than a value returned earlier
   */
  long nowMs();
}
