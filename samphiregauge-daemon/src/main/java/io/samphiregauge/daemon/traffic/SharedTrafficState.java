package io.samphiregauge.daemon.traffic;

/**
 * What the event loops of an entry share; each part is safe for all threads.
 *
 * @param loads load of each backend server
 * @param metrics counters and latencies
 * @param drainState progress of a graceful shutdown
 * @param runningCalls calls that have not ended
 */
record SharedTrafficState(
    BackendLoadTracker loads,
    TrafficMetrics metrics,
    DrainState drainState,
    RunningCalls runningCalls) {}
