/**
 * Fold of the control log: the state that every process computes alike from the records in order.
 */
package io.samphiregauge.core.log;
