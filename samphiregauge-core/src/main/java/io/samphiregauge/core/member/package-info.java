/**
 * SWIM-style gossip membership of the entries. A member that gossip confirms dead has not ended:
 * only an {@code Ended} record in the log ends a process.
 */
package io.samphiregauge.core.member;
