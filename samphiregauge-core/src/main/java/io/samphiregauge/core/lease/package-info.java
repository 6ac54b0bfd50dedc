/** Leases: authority that one process at a time holds, decided by the order of the log. */
package io.samphiregauge.core.lease;
