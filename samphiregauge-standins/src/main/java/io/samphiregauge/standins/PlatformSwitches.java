package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.PlatformFaults;

/** Faults of the platform; belongs to the owner of the platform's state. */
final class PlatformSwitches {
  private boolean refuseReclaimable;
  private int loseAnswers;
  private int listLagMs;

  void set(PlatformFaults faults) {
    refuseReclaimable = faults.getRefuseReclaimable().orElse(refuseReclaimable);
    loseAnswers = faults.getLoseAnswers().orElse(loseAnswers);
    listLagMs = faults.getListLagMs().orElse(listLagMs);
  }

  boolean refusesReclaimable() {
    return refuseReclaimable;
  }

  int listLagMs() {
    return listLagMs;
  }

  boolean takeLostAnswer() {
    boolean lost = loseAnswers > 0;
    loseAnswers = Math.max(0, loseAnswers - 1);
    return lost;
  }
}
