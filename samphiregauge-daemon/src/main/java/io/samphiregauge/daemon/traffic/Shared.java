package io.samphiregauge.daemon.traffic;

/**
 * What the event loops of an entry share; each part is safe for all threads.
 *
 * @param loads load of each backend server
 * @param metrics counters and latencies
 * @param drain progress of a graceful shutdown
 * @param running calls that have not ended
 */
record Shared(BackendLoads loads, TrafficMetrics metrics, Drain drain, RunningCalls running) {}
