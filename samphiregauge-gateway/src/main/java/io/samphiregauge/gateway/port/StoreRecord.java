package io.samphiregauge.gateway.port;

import java.util.Optional;

/**
 * A record of a topic in the store.
 *
 * @param key the key; an empty string in a topic without keys
 * @param value the value, or empty if the key was removed
 */
public record StoreRecord(String key, Optional<byte[]> value) {}
