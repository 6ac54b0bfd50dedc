package io.samphiregauge.schema;

/** Message between two entries; each kind of message is one generated class. */
public interface PeerMessage {}
