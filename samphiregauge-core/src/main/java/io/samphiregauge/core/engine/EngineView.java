package io.samphiregauge.core.engine;

import io.samphiregauge.schema.order.EngineRole;

/**
 * Load and performance of an engine for the placement of one request: its last report, to which the
 * registry may add the changes that the report does not include yet. Immutable.
 *
 * @param profile static performance model of the engine
 * @param role role in the last report
 * @param queuedPrefillTokens prompt tokens that are queued
 * @param sequences number of sequences that decode or wait for a slot
 * @param freeKvTokens free KV cache in tokens
 * @param prefillBusy smoothed fraction of recent reports with queued prompts, from 0 to 1
 * @param cachedTokens expected number of prompt tokens that the engine caches
 * @param hopMs one-way network latency to the engine
 */
public record EngineView(
    EngineProfile profile,
    EngineRole role,
    double queuedPrefillTokens,
    double sequences,
    double freeKvTokens,
    double prefillBusy,
    double cachedTokens,
    double hopMs) {
  /** Returns the name of the engine. */
  public String name() {
    return profile.name();
  }
}
