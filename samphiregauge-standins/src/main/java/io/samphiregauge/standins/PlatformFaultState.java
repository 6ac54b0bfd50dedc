package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.PlatformFaults;

/** Faults of the platform; belongs to the owner of the platform's state. */
final class PlatformFaultState {
  private boolean refuseReclaimable;
  private int responsesToDrop;
  private int listLagMs;

  void update(PlatformFaults faults) {
    refuseReclaimable = faults.getRefuseReclaimable().orElse(refuseReclaimable);
    responsesToDrop = faults.getLoseAnswers().orElse(responsesToDrop);
    listLagMs = faults.getListLagMs().orElse(listLagMs);
  }

  boolean refusesReclaimable() {
    return refuseReclaimable;
  }

  int listLagMs() {
    return listLagMs;
  }

  boolean consumeDroppedResponse() {
    boolean lost = responsesToDrop > 0;
    responsesToDrop = Math.max(0, responsesToDrop - 1);
    return lost;
  }
}
