package io.samphiregauge.core.suspect;

import java.util.List;

/**
 * Engines that another entry reserves.
 *
 * @param noticeNumber notice that named them
 * @param engines their names
 */
record RemoteReservations(long noticeNumber, List<String> engines) {}
