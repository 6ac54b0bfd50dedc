package io.samphiregauge.core;

/** Tells the time of a monotonic clock in milliseconds. */
@FunctionalInterface
public interface Clock {
  /**
   * Returns the time since an arbitrary origin.
   *
   * @return milliseconds, never less than an earlier result
   */
  long nowMs();
}
