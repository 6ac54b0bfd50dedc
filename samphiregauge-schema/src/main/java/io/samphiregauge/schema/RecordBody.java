package io.samphiregauge.schema;

/** Body of a log record; each kind of record is one generated class. */
public interface RecordBody {}
