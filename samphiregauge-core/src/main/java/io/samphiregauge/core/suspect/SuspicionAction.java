package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.record.Incarnation;
import java.util.List;

/** Something that the suspicion machine asks for. */
public sealed interface SuspicionAction {
  /** Send a message to another entry. */
  record Send(Incarnation to, PeerMessage message) implements SuspicionAction {}

  /**
   * Ask all event loops, after they have seen the newest view, on which of the engines an unproven
   * request or a suspect of this entry runs, and answer with {@link SuspicionEvent.EnginesChecked}.
   */
  record CheckEngines(Incarnation reservedBy, long number, List<String> engines)
      implements SuspicionAction {}

  /**
   * The callers of the requests on a crashed engine may be answered and their streams resumed.
   *
   * @param allAcknowledged whether all live entries have confirmed the notice
   */
  record ReleaseCallers(String engine, List<String> fingerprints, boolean allAcknowledged)
      implements SuspicionAction {}

  /** A suspect may run on an engine. */
  record IsolationGranted(String fingerprint, String engine) implements SuspicionAction {}

  /** No engine can be reserved for a suspect now; it may ask again. */
  record IsolationRefused(String fingerprint) implements SuspicionAction {}
}
