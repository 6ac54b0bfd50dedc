package io.samphiregauge.core.suspect;

import java.util.List;

/**
 * Engines that another entry has reserved for its suspects.
 *
 * @param noticeNumber number of the notice that listed them
 * @param engines names of the engines
 */
record RemoteReservations(long noticeNumber, List<String> engines) {}
