package io.samphiregauge.core.suspect;

/**
 * Reservation of an engine by this entry for one suspect.
 *
 * @param fingerprint digest of the suspect
 * @param noticeNumber number of the notice that announced the reservation
 * @param locallyFree whether this entry has no unproven request on the engine
 * @param granted whether the suspect may start on the engine
 */
record Reservation(String fingerprint, long noticeNumber, boolean locallyFree, boolean granted) {
  Reservation withLocallyFree(boolean free) {
    return new Reservation(fingerprint, noticeNumber, free, granted);
  }

  Reservation asGranted() {
    return new Reservation(fingerprint, noticeNumber, locallyFree, true);
  }
}
