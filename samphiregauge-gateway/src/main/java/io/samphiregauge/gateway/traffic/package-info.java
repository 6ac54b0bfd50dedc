/** Relays requests; everything of one request happens on one event loop. */
package io.samphiregauge.gateway.traffic;
