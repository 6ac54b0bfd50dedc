package io.samphiregauge.core.route;

import java.util.Optional;

/**
 * Properties of a request that determine its route.
 *
 * @param team team of the request, or empty on a route that is open to all callers
 * @param model name of the model, or empty for a plain service
 * @param service name of the plain service, or empty for a model
 * @param promptTokens estimated length of the prompt, in tokens
 * @param prefix digest of the start of the prompt, for prefix caches
 * @param idempotent whether the request may be retried
 */
public record RouteRequest(
    Optional<String> team,
    Optional<String> model,
    Optional<String> service,
    int promptTokens,
    Optional<String> prefix,
    boolean idempotent) {}
