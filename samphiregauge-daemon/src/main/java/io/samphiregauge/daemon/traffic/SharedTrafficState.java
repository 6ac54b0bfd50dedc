package io.samphiregauge.daemon.traffic;

/**
 * State shared by all event loops of an entry; each component is thread-safe.
 *
 * @param loads running calls and failures of each backend server
 * @param metrics counters and latencies
 * @param drainState state of a graceful shutdown
 * @param runningCalls number of running calls
 */
record SharedTrafficState(
    BackendLoadTracker loads,
    TrafficMetrics metrics,
    DrainState drainState,
    RunningCalls runningCalls) {}
