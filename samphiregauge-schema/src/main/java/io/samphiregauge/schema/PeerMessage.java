package io.samphiregauge.schema;

/**
 * Marker interface of messages between two entries; implemented by one generated class per message
 * type.
 */
public interface PeerMessage {}
