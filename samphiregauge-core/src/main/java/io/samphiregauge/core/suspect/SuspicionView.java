package io.samphiregauge.core.suspect;

import java.util.Map;
import java.util.Set;

/** Suspicions and reservations as read by traffic threads; immutable. */
public final class SuspicionView {
  private final SuspicionTable suspicions;
  private final Set<String> reservedEngines;
  private final Map<String, String> suspectByEngine;
  private final boolean synced;

  SuspicionView(
      SuspicionTable suspicions,
      Set<String> reservedEngines,
      Map<String, String> suspectByEngine,
      boolean synced) {
    this.suspicions = suspicions;
    this.reservedEngines = reservedEngines;
    this.suspectByEngine = suspectByEngine;
    this.synced = synced;
  }

  /** Returns the suspicion level of a request. */
  public SuspicionLevel level(String fingerprint) {
    return suspicions.level(fingerprint);
  }

  /**
   * Returns whether a new request may start on an engine.
   *
   * @param fingerprint fingerprint of the request
   * @param engine name of the engine
   * @return true for a clear request on an engine that is not reserved, and for a suspect on the
   *     engine granted to it
   */
  public boolean mayStart(String fingerprint, String engine) {
    SuspicionLevel level = level(fingerprint);
    if (level == SuspicionLevel.SUSPECT) {
      return fingerprint.equals(suspectByEngine.get(engine));
    }
    return level == SuspicionLevel.CLEAR && !reservedEngines.contains(engine);
  }

  /**
   * Returns whether this entry has received a notice from all live entries since it started, and
   * therefore knows their suspicions. Stays true from then on.
   */
  public boolean synced() {
    return synced;
  }
}
