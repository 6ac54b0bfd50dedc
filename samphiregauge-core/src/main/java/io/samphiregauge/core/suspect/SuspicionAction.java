package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.record.Incarnation;
import java.util.List;

/** Action that {@link Suspicion} requests, or its decision on an isolation request. */
public sealed interface SuspicionAction {
  /** Sends a message to another entry. */
  record Send(Incarnation to, PeerMessage message) implements SuspicionAction {}

  /**
   * Determines which of the engines run a suspect of this entry, or a request that has not yet
   * produced {@link SuspicionLimits#PROVEN_TOKENS} tokens. Every event loop must apply the newest
   * {@link SuspicionView} before it checks; the result is returned as {@link
   * SuspicionEvent.EnginesChecked}.
   */
  record CheckEngines(Incarnation reservedBy, long number, List<String> engines)
      implements SuspicionAction {}

  /**
   * Allows this entry to respond to the callers whose requests ran on a crashed engine, or to
   * resume their streams on other engines.
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
