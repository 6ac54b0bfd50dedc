/**
 * What an entry knows of the room of each service. Load pattern: bursts of 1.9 times the usual load
 * fill the backend servers of a service, and many entries that do not see each other's requests
 * send to the same few free places.
 */
package io.samphiregauge.core.room;
