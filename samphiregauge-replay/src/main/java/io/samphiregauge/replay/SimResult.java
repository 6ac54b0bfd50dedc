package io.samphiregauge.replay;

import io.samphiregauge.schema.replay.ReplaySettings;
import java.util.List;

/**
 * What a simulation gives.
 *
 * @param trace the trace
 * @param settings the settings
 * @param jobs requests in order of arrival
 * @param metrics measurements
 * @param costMicros cost of the engines until the last arrival
 */
record SimResult(
    Trace trace, ReplaySettings settings, List<SimJob> jobs, SimMetrics metrics, long costMicros) {}
