/**
 * Duties that one entry does at a time: the lease in a register of the store, and what a successor
 * must repeat unchanged.
 */
package io.samphiregauge.core.duty;
