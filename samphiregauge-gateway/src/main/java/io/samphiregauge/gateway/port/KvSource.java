package io.samphiregauge.gateway.port;

import io.samphiregauge.core.backend.BackendServer;

/**
 * A KV cache that an engine retains for transfer to another engine.
 *
 * @param server engine that retains the KV cache
 * @param handle identifier of the KV cache at that engine
 */
public record KvSource(BackendServer server, String handle) {}
