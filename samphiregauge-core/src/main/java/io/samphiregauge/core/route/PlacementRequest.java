package io.samphiregauge.core.route;

/**
 * What the placement of a model request depends on.
 *
 * @param promptTokens length of the prompt, with tokens emitted before a resume
 * @param outputTokens expected length of the answer
 * @param failureDomain failure domain of the entry
 * @param exclusive whether the request must not share an engine with other work
 * @param entries entries that send to the same engines and see the same reports
 */
public record PlacementRequest(
    int promptTokens, double outputTokens, String failureDomain, boolean exclusive, int entries) {}
