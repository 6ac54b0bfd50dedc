/**
 * Interfaces that an adapter of a platform implements: functions that encode and decode messages
 * and call the platform.
 */
package io.samphiregauge.gateway.port;
