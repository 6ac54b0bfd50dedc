package io.samphiregauge.core.fleet;

/**
 * Demand of all teams.
 *
 * @param prefillTokensPerSecond rate of prompt tokens that are not cached
 * @param outputTokensPerSecond rate of output tokens
 */
public record Demand(double prefillTokensPerSecond, double outputTokensPerSecond) {}
