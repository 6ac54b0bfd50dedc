/** Replay of traces in virtual time: engine model, baselines, bound, reports and trace writer. */
package io.samphiregauge.replay;
