package io.samphiregauge.core.control;

/**
 * Time of an event.
 *
 * @param monotonicMs monotonic time of the process
 * @param wallMs time of day in milliseconds since 1970; only usage windows depend on it
 */
public record ClockReading(long monotonicMs, long wallMs) {}
