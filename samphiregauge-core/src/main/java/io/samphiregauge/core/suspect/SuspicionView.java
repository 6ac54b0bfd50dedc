package io.samphiregauge.core.suspect;

import java.util.Map;
import java.util.Set;

/** What traffic threads need to know of suspicions; immutable. */
public final class SuspicionView {
  private final SuspectTable suspects;
  private final Set<String> closedEngines;
  private final Map<String, String> granted;
  private final boolean synced;

  SuspicionView(
      SuspectTable suspects,
      Set<String> closedEngines,
      Map<String, String> granted,
      boolean synced) {
    this.suspects = suspects;
    this.closedEngines = closedEngines;
    this.granted = granted;
    this.synced = synced;
  }

  /** Tells how a request may run. */
  public Standing standing(String fingerprint) {
    return suspects.standing(fingerprint);
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
    Standing standing = standing(fingerprint);
    if (standing == Standing.SUSPECT) {
      return fingerprint.equals(granted.get(engine));
    }
    return standing == Standing.CLEAR && !closedEngines.contains(engine);
  }

  /** Tells whether this entry has heard from all entries that were live when it started. */
  public boolean synced() {
    return synced;
  }
}
