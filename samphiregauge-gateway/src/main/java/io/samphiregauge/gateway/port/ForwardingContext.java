package io.samphiregauge.gateway.port;

import io.samphiregauge.core.backend.BackendServer;
import java.util.Optional;

/**
 * How a request is sent to a backend server.
 *
 * @param server the server that is meant; another one at its address must reject the request
 * @param deadlineMs time that is left, in milliseconds
 * @param team team that the request runs for
 * @param rank urgency among all requests of an engine, 0 is the most urgent
 * @param prefillOnly whether the engine only prefills the prompt and keeps the KV cache
 * @param kvSource KV cache to start from
 * @param cacheSource engine from whose cache the server fetches parts of the prompt first
 * @param lastEventId identifier of the last event that the caller has
 */
public record ForwardingContext(
    BackendServer server,
    long deadlineMs,
    Optional<String> team,
    int rank,
    boolean prefillOnly,
    Optional<KvSource> kvSource,
    Optional<BackendServer> cacheSource,
    Optional<String> lastEventId) {}
