package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.PlatformFaults;

/**
 * Holds the faults configured for the platform stand-in, over HTTP or by a test. Accessed only on
 * the event loop that owns the platform's state.
 */
final class PlatformFaultState {
  private boolean refuseReclaimable;
  private int responsesToDrop;
  private int listLagMs;

  /** Overrides the faults that are present in the message and keeps the others. */
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

  /** Returns whether to drop a response, and decrements the remaining count. */
  boolean consumeDroppedResponse() {
    boolean dropped = responsesToDrop > 0;
    responsesToDrop = Math.max(0, responsesToDrop - 1);
    return dropped;
  }
}
