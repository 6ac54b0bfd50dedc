package io.samphiregauge.gateway.port;

import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.site.SiteConfig;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * Decoders of the values that operators and backend servers write into the store.
 *
 * @param configKey key of the configuration in its topic
 * @param configDecoder decodes a configuration
 * @param announcementDecoder decodes an announcement from its key and value
 */
public record StoreValueDecoder(
    String configKey,
    Function<byte[], Result<SiteConfig>> configDecoder,
    BiFunction<String, byte[], Result<BackendServer>> announcementDecoder) {}
