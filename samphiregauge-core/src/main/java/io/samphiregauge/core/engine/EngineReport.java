package io.samphiregauge.core.engine;

import io.samphiregauge.schema.order.EngineRole;

/**
 * A load report of an engine; it is older than its arrival.
 *
 * @param engine name of the engine
 * @param measuredMs when the engine measured, on the clock of the receiver
 * @param role role of the engine
 * @param accepting whether the engine takes new work
 * @param queuedPrefillTokens prompt tokens that wait or are partly done
 * @param sequences sequences that decode or wait for a slot
 * @param freeKvTokens free KV cache in tokens
 */
public record EngineReport(
    String engine,
    long measuredMs,
    EngineRole role,
    boolean accepting,
    double queuedPrefillTokens,
    int sequences,
    double freeKvTokens) {}
