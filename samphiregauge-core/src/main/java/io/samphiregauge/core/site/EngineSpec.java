package io.samphiregauge.core.site;

/**
 * What the model engines of a service have in common.
 *
 * @param slots requests that an engine runs at once
 * @param kvTokens tokens that an engine's memory holds
 */
public record EngineSpec(int slots, long kvTokens) {}
