package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.ServiceFaults;

/** Faults of the plain service; belongs to the owner of the service's state. */
final class ServiceFaultState {
  private int delayMs;
  private int crashesBeforeRun;
  private int crashesAfterRun;

  void update(ServiceFaults faults) {
    delayMs = faults.getDelayMs().orElse(delayMs);
    crashesBeforeRun = faults.getCrashBefore().orElse(crashesBeforeRun);
    crashesAfterRun = faults.getCrashAfter().orElse(crashesAfterRun);
  }

  int delayMs() {
    return delayMs;
  }

  boolean consumeCrashBeforeRun() {
    boolean crash = crashesBeforeRun > 0;
    crashesBeforeRun = Math.max(0, crashesBeforeRun - 1);
    return crash;
  }

  boolean consumeCrashAfterRun() {
    boolean crash = crashesAfterRun > 0;
    crashesAfterRun = Math.max(0, crashesAfterRun - 1);
    return crash;
  }
}
