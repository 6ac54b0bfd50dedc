package io.samphiregauge.gateway.port;

import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.site.SiteConfig;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * Decodes what operators and backend servers write into the store.
 *
 * @param configKey key of the configuration
 * @param config decodes a configuration
 * @param backend decodes an announcement, from its key and value
 */
public record SiteReader(
    String configKey,
    Function<byte[], Result<SiteConfig>> config,
    BiFunction<String, byte[], Result<BackendServer>> backend) {}
