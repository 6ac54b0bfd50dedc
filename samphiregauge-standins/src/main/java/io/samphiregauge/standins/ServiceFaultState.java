package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.ServiceFaults;

/**
 * Holds the faults configured for the plain service stand-in, over HTTP or by a test. Accessed only
 * on the event loop that owns the service's state.
 */
final class ServiceFaultState {
  private int delayMs;
  private int crashesBeforeRun;
  private int crashesAfterRun;

  /** Overrides the faults that are present in the message and keeps the others. */
  void update(ServiceFaults faults) {
    delayMs = faults.getDelayMs().orElse(delayMs);
    crashesBeforeRun = faults.getCrashBefore().orElse(crashesBeforeRun);
    crashesAfterRun = faults.getCrashAfter().orElse(crashesAfterRun);
  }

  int delayMs() {
    return delayMs;
  }

  /** Returns whether to crash before running a call, and decrements the remaining count. */
  boolean consumeCrashBeforeRun() {
    boolean crash = crashesBeforeRun > 0;
    crashesBeforeRun = Math.max(0, crashesBeforeRun - 1);
    return crash;
  }

  /** Returns whether to crash after running a call, and decrements the remaining count. */
  boolean consumeCrashAfterRun() {
    boolean crash = crashesAfterRun > 0;
    crashesAfterRun = Math.max(0, crashesAfterRun - 1);
    return crash;
  }
}
