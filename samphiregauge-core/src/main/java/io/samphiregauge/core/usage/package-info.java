/**
 * Usage accounting: counters of each entry, their replication to peers, and the collection, sealing
 * and reporting of usage windows.
 */
package io.samphiregauge.core.usage;
