package io.samphiregauge.gateway.port;

import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.site.SiteConfig;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * Decoders of the values in the store: the site configuration, which operators write, and the
 * announcements, which backend servers write.
 *
 * @param configKey key of the site configuration in its topic
 * @param configDecoder decodes the value of a site configuration
 * @param announcementDecoder decodes an announcement from its key and value
 */
public record StoreValueDecoder(
    String configKey,
    Function<byte[], Result<SiteConfig>> configDecoder,
    BiFunction<String, byte[], Result<BackendServer>> announcementDecoder) {}
