package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.record.Incarnation;

/**
 * What is known of a fingerprint.
 *
 * @param standing how it may run; {@code CLEAR} keeps an older notice from raising the suspicion
 *     again
 * @param engine engine of the crash
 * @param origin process that sent the newest notice about it
 * @param number number of that notice
 * @param sinceMs time of the last change
 */
record Suspect(Standing standing, String engine, Incarnation origin, long number, long sinceMs) {
  long keepMs() {
    return standing == Standing.CONDEMNED
        ? SuspicionLimits.KEEP_CONDEMNED_MS
        : SuspicionLimits.KEEP_SUSPECT_MS;
  }
}
