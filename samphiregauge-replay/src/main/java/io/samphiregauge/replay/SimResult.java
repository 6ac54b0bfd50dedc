package io.samphiregauge.replay;

import io.samphiregauge.schema.replay.ReplaySettings;
import java.util.List;

/**
 * Result of a simulation.
 *
 * @param trace trace that was run
 * @param settings settings of the simulated system
 * @param jobs requests in order of the trace
 * @param metrics measurements of the run
 * @param costMicros cost of the engines until the last arrival, in millionths of the currency
 */
record SimResult(
    Trace trace, ReplaySettings settings, List<SimJob> jobs, SimMetrics metrics, long costMicros) {}
