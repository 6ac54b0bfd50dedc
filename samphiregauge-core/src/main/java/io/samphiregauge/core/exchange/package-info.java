/**
 * What entries tell each other about backend servers: the loads they put on them and the prompts
 * that engines have cached.
 *
 * <p>Load pattern: many entries place requests on few servers, so the loads of the other entries
 * must be recent, while the number of messages must not grow with the square of the entries.
 */
package io.samphiregauge.core.exchange;
