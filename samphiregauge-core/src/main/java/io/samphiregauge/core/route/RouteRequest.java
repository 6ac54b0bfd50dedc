package io.samphiregauge.core.route;

import java.util.Optional;

/**
 * What routing needs to know of a request.
 *
 * @param team team that the request runs for, or empty on a route open to all
 * @param model model, or empty for a plain service
 * @param service plain service, or empty for a model
 * @param promptTokens estimated length of the prompt
 * @param prefix digest of the start of the prompt, for prefix caches
 * @param idempotent whether the request may be run again
 */
public record RouteRequest(
    Optional<String> team,
    Optional<String> model,
    Optional<String> service,
    int promptTokens,
    Optional<String> prefix,
    boolean idempotent) {}
