package io.samphiregauge.core.suspect;

/** Restriction on running a request, in ascending order of severity. */
public enum SuspicionLevel {
  /** Runs on any engine that is not reserved. */
  CLEAR,
  /** Runs only on an engine that is reserved for it. */
  SUSPECT,
  /**
   * Refused with the reason {@code crashes_backend}. Notices list it in the field {@code
   * condemned}.
   */
  BLOCKED
}
