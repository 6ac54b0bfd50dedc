package io.samphiregauge.core.engine;

import io.samphiregauge.schema.order.EngineRole;

/**
 * Load report of an engine. It describes the state when it was measured, not when it is received.
 *
 * @param engine name of the engine
 * @param measuredMs time of the measurement, on the clock of the receiver
 * @param role role of the engine
 * @param accepting whether the engine accepts new work
 * @param queuedPrefillTokens prompt tokens that are queued or partly computed
 * @param sequences number of sequences that decode or wait for a slot
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
