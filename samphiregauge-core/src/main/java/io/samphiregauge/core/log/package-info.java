/**
 * The replicated control log: reading and writing records, and the deterministic state that every
 * process computes from them in log order.
 */
package io.samphiregauge.core.log;
