/**
 * Duties that at most one entry performs at a time: the lease on them, which is kept in a record of
 * the store, and the state that a new lease holder needs to continue the work of its predecessor.
 */
package io.samphiregauge.core.duty;
