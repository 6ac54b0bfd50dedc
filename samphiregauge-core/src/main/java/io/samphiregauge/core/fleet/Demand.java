package io.samphiregauge.core.fleet;

/**
 * Offered work of all teams.
 *
 * @param prefillTokensPerSecond prompt tokens that no cache holds
 * @param outputTokensPerSecond output tokens
 */
public record Demand(double prefillTokensPerSecond, double outputTokensPerSecond) {}
