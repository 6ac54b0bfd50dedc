package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.record.Incarnation;
import java.util.List;

/** Action that {@link Suspicion} requests, or its decision on an isolation request. */
public sealed interface SuspicionAction {
  /** Sends a message to another entry. */
  record Send(Incarnation to, PeerMessage message) implements SuspicionAction {}

  /**
   * Determines on which of the engines an unproven request or a suspect of this entry runs. Every
   * event loop must apply the newest {@link SuspicionView} before it checks; the result is returned
   * as {@link SuspicionEvent.EnginesChecked}.
   */
  record CheckEngines(Incarnation reservedBy, long number, List<String> engines)
      implements SuspicionAction {}

  /**
   * Allows responses to the callers of the requests on a crashed engine, and their streams to
   * resume.
   *
   * @param allAcknowledged whether all expected entries have acknowledged the notice, rather than
   *     the timeout having elapsed
   */
  record ReleaseCallers(String engine, List<String> fingerprints, boolean allAcknowledged)
      implements SuspicionAction {}

  /** Allows a suspect to run on an engine. */
  record IsolationGranted(String fingerprint, String engine) implements SuspicionAction {}

  /** No engine can be reserved for a suspect now; the request may be repeated. */
  record IsolationRefused(String fingerprint) implements SuspicionAction {}
}
