package io.samphiregauge.gateway.port;

import io.samphiregauge.core.backend.BackendServer;
import java.util.Optional;

/**
 * Values for the headers of a request that is forwarded to a backend server.
 *
 * @param server the intended server; a different one at the same address must reject the request
 * @param deadlineMs remaining time, in milliseconds
 * @param team team for which the request runs
 * @param rank rank in the queue of the engine; 0 is the most urgent
 * @param prefillOnly whether the engine only prefills the prompt and retains the KV cache
 * @param kvSource KV cache from which the engine starts to decode
 * @param cacheSource engine from whose cache the server first fetches parts of the prompt
 * @param backup engine that receives a copy of the KV cache while the request runs
 * @param lastEventId identifier of the last event of the stream that the caller has received
 */
public record ForwardingContext(
    BackendServer server,
    long deadlineMs,
    Optional<String> team,
    int rank,
    boolean prefillOnly,
    Optional<KvSource> kvSource,
    Optional<BackendServer> cacheSource,
    Optional<BackendServer> backup,
    Optional<String> lastEventId) {}
