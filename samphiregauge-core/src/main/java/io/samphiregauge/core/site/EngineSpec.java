package io.samphiregauge.core.site;

/**
 * The capacity of each model engine of a service.
 *
 * @param slots number of requests that an engine runs concurrently
 * @param kvTokens capacity of the KV cache of an engine, in tokens
 */
public record EngineSpec(int slots, long kvTokens) {}
