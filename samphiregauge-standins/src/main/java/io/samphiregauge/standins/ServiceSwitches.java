package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.ServiceFaults;

/** Faults of the plain service; belongs to the owner of the service's state. */
final class ServiceSwitches {
  private int delayMs;
  private int crashBefore;
  private int crashAfter;

  void set(ServiceFaults faults) {
    delayMs = faults.getDelayMs().orElse(delayMs);
    crashBefore = faults.getCrashBefore().orElse(crashBefore);
    crashAfter = faults.getCrashAfter().orElse(crashAfter);
  }

  int delayMs() {
    return delayMs;
  }

  boolean takeCrashBefore() {
    boolean crash = crashBefore > 0;
    crashBefore = Math.max(0, crashBefore - 1);
    return crash;
  }

  boolean takeCrashAfter() {
    boolean crash = crashAfter > 0;
    crashAfter = Math.max(0, crashAfter - 1);
    return crash;
  }
}
