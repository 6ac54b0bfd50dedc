/**
 * Front of the coordination parts: one state machine over log, leases, membership, orders, usage
 * and pieces that other projects can embed.
 */
package io.samphiregauge.core.control;
