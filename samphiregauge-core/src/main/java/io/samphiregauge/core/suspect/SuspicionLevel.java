package io.samphiregauge.core.suspect;

/** How a request may run. */
public enum SuspicionLevel {
  /** On any engine that is not reserved. */
  CLEAR,
  /** Only on an engine that was reserved for it. */
  SUSPECT,
  /** Not at all; refused with the reason {@code crashes_backend}. */
  BLOCKED
}
