/**
 * Gateway process of an entry: relays the requests of callers to the backend servers of a shared
 * platform and takes part in the fleet duties. The format of the platform's messages is left to an
 * adapter.
 */
package io.samphiregauge.gateway;
