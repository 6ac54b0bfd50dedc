package io.samphiregauge.core.suspect;

import java.util.List;

/**
 * Engines that another entry reserves.
 *
 * @param number notice that named them
 * @param engines their names
 */
record ClosedEngines(long number, List<String> engines) {}
