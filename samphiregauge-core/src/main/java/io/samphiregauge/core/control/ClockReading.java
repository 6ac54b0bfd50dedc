package io.samphiregauge.core.control;

/**
 * Readings of the clocks at the time of an event.
 *
 * @param monotonicMs monotonic time of the process, in milliseconds
 * @param wallMs wall-clock time in milliseconds since the epoch; only usage windows depend on it
 */
public record ClockReading(long monotonicMs, long wallMs) {}
