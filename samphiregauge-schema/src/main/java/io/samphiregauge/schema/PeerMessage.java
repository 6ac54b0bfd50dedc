package io.samphiregauge.schema;

/**
 * Marker interface of messages between two entries. Implemented by the generated message classes of
 * the peer protocol.
 */
public interface PeerMessage {}
