/** Leases: exclusive authority of one process at a time, decided by the order of log records. */
package io.samphiregauge.core.lease;
