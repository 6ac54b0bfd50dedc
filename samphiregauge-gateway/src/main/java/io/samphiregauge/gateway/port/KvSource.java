package io.samphiregauge.gateway.port;

import io.samphiregauge.core.backend.BackendServer;

/**
 * A KV cache that an engine holds for another one.
 *
 * @param server engine that holds it
 * @param handle its name at that engine
 */
public record KvSource(BackendServer server, String handle) {}
