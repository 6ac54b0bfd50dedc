package io.samphiregauge.core.directory;

/**
 * How an entry does at a moment, as it measures itself.
 *
 * @param busy used part of its busiest resource, from 0 to 1
 * @param lagMs time for which its event loop has been late, in milliseconds
 * @param staleness age of its configuration, as a part of the age at which it stops to serve
 */
public record EntryCondition(double busy, long lagMs, double staleness) {}
