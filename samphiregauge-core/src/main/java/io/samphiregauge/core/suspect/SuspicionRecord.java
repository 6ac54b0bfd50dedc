package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.record.Incarnation;

/**
 * What is known of a fingerprint.
 *
 * @param level how it may run; {@code CLEAR} keeps an older notice from raising the suspicion again
 * @param engine engine of the crash
 * @param origin process that sent the newest notice about it
 * @param noticeNumber number of that notice
 * @param changedMs time of the last change
 */
record SuspicionRecord(
    SuspicionLevel level, String engine, Incarnation origin, long noticeNumber, long changedMs) {
  long retentionMs() {
    return level == SuspicionLevel.BLOCKED
        ? SuspicionLimits.BLOCKED_RETENTION_MS
        : SuspicionLimits.SUSPECT_RETENTION_MS;
  }
}
