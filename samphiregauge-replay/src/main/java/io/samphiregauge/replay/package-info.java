/**
 * Replay of traces in virtual time: simulated engines and entries, baseline policies, offline
 * bounds, reports and trace generator.
 */
package io.samphiregauge.replay;
