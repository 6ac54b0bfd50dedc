package io.samphiregauge.core.route;

/**
 * Properties of a model request that determine its placement.
 *
 * @param promptTokens length of the prompt, including tokens emitted before a resume
 * @param outputTokens expected length of the response, in tokens
 * @param failureDomain failure domain of the entry
 * @param exclusive whether the request must not share an engine with other work
 * @param entries number of entries that use the same engines and receive the same reports
 */
public record PlacementRequest(
    int promptTokens, double outputTokens, String failureDomain, boolean exclusive, int entries) {}
