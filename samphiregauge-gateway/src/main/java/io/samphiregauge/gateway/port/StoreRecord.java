package io.samphiregauge.gateway.port;

import java.util.Optional;

/**
 * A record of the store.
 *
 * @param key key, empty in a topic without keys
 * @param value value; empty where the key is removed
 */
public record StoreRecord(String key, Optional<byte[]> value) {}
