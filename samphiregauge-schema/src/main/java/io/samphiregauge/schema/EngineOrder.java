package io.samphiregauge.schema;

/**
 * Marker interface of orders to a backend server or to the platform; implemented by one generated
 * class per order type.
 */
public interface EngineOrder {}
