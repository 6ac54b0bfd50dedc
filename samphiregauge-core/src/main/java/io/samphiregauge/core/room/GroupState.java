package io.samphiregauge.core.room;

/**
 * What an entry knows of the group of entries when it shares the places of services.
 *
 * @param entries number of entries, at least 1
 * @param hearsOthers whether the loads of other entries are known
 * @param maxAgeMs age that known loads can reach, in milliseconds
 */
public record GroupState(int entries, boolean hearsOthers, long maxAgeMs) {}
