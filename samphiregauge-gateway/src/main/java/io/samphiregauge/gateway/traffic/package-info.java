/**
 * Forwards callers' requests to backend servers and relays the responses. All traffic of an entry
 * runs on one event loop, so the state in this package needs no locks.
 */
package io.samphiregauge.gateway.traffic;
