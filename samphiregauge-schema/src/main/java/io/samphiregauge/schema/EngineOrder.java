package io.samphiregauge.schema;

/**
 * Marker interface of orders to a backend server or to the platform. Implemented by the generated
 * order classes.
 */
public interface EngineOrder {}
