package io.samphiregauge.schema;

/** Order to a backend server or to the platform; each kind of order is one generated class. */
public interface EngineOrder {}
