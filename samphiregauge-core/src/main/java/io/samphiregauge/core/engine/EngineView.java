package io.samphiregauge.core.engine;

import io.samphiregauge.schema.order.EngineRole;

/**
 * An engine as an entry sees it for one request: the last report, corrected; immutable.
 *
 * @param profile what is known before any report
 * @param role role by the last report
 * @param queuedPrefillTokens prompt tokens that wait
 * @param sequences sequences that decode or wait for a slot
 * @param freeKvTokens free KV cache in tokens
 * @param prefillBusy share of the recent reports in which prompts waited, from 0 to 1
 * @param cachedTokens expected tokens of the prompt that the engine holds
 * @param hopMs one-way delay to the engine
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
