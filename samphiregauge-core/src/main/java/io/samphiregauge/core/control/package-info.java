/**
 * Coordination of the entries: one state machine that combines log, leases, membership, orders,
 * usage and pieces, and that other projects can embed.
 */
package io.samphiregauge.core.control;
