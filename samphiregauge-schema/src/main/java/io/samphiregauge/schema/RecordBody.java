package io.samphiregauge.schema;

/** Marker interface of log record bodies; implemented by one generated class per record type. */
public interface RecordBody {}
