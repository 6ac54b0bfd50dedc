package io.samphiregauge.core.suspect;

/**
 * An engine that this entry reserves for one suspect.
 *
 * @param fingerprint the suspect
 * @param number notice that announced the reservation
 * @param freeHere whether no unproven request of this entry is on the engine
 * @param granted whether the suspect may run
 */
record Reservation(String fingerprint, long number, boolean freeHere, boolean granted) {
  Reservation checked(boolean free) {
    return new Reservation(fingerprint, number, free, granted);
  }

  Reservation grant() {
    return new Reservation(fingerprint, number, freeHere, true);
  }
}
