package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.record.Incarnation;

/**
 * Suspicion level of a fingerprint, with the notice that set it.
 *
 * @param level current level; a {@code CLEAR} record prevents an older notice from raising the
 *     suspicion again
 * @param engine engine that crashed, or empty
 * @param origin process that sent the newest notice about the fingerprint
 * @param noticeNumber number of that notice
 * @param changedMs time of the last change on the clock of this process
 */
record SuspicionRecord(
    SuspicionLevel level, String engine, Incarnation origin, long noticeNumber, long changedMs) {
  long retentionMs() {
    return level == SuspicionLevel.BLOCKED
        ? SuspicionLimits.BLOCKED_RETENTION_MS
        : SuspicionLimits.SUSPECT_RETENTION_MS;
  }
}
