package io.samphiregauge.core.suspect;

/**
 * An engine that this entry reserves for one suspect.
 *
 * @param fingerprint the suspect
 * @param noticeNumber notice that announced the reservation
 * @param locallyFree whether no unproven request of this entry is on the engine
 * @param granted whether the suspect may run
 */
record Reservation(String fingerprint, long noticeNumber, boolean locallyFree, boolean granted) {
  Reservation withLocallyFree(boolean free) {
    return new Reservation(fingerprint, noticeNumber, free, granted);
  }

  Reservation asGranted() {
    return new Reservation(fingerprint, noticeNumber, locallyFree, true);
  }
}
