package io.samphiregauge.core.suspect;

import java.util.Map;
import java.util.Set;

/** What traffic threads need to know of suspicions; immutable. */
public final class SuspicionView {
  private final SuspicionTable suspicions;
  private final Set<String> reservedEngines;
  private final Map<String, String> suspectByEngine;
  private final boolean synced;

  SuspicionView(
      SuspicionTable suspects,
      Set<String> closedEngines,
      Map<String, String> granted,
      boolean synced) {
    this.suspicions = suspects;
    this.reservedEngines = closedEngines;
    this.suspectByEngine = granted;
    this.synced = synced;
  }

  /** Tells how a request may run. */
  public SuspicionLevel level(String fingerprint) {
    return suspicions.level(fingerprint);
  }

  /**
   * Tells whether a new request may start on an engine.
   *
   * @param fingerprint fingerprint of the request
   * @param engine name of the engine
   * @return true for a clear request on an open engine, and for a suspect on the engine that was
   *     reserved for it
   */
  public boolean mayStart(String fingerprint, String engine) {
    SuspicionLevel level = level(fingerprint);
    if (level == SuspicionLevel.SUSPECT) {
      return fingerprint.equals(suspectByEngine.get(engine));
    }
    return level == SuspicionLevel.CLEAR && !reservedEngines.contains(engine);
  }

  /** Tells whether this entry has heard from all entries that were live when it started. */
  public boolean synced() {
    return synced;
  }
}
