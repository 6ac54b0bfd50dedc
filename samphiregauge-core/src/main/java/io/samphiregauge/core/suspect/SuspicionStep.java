package io.samphiregauge.core.suspect;

import java.util.List;

/**
 * Result of an event.
 *
 * @param state state after the event
 * @param actions what is to be done, in order
 */
public record SuspicionStep(SuspicionState state, List<SuspicionAction> actions) {}
