/**
 * Serves callers of a shared platform: relays their requests to backend servers and takes its part
 * in the fleet's duties. What the platform's messages look like is left to an adapter.
 */
package io.samphiregauge.gateway;
