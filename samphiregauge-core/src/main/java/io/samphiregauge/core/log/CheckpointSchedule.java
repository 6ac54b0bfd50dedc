package io.samphiregauge.core.log;

import io.samphiregauge.schema.record.Checkpoint;
import java.util.Optional;

/**
 * Decides when to write a checkpoint of the whole state to the log; immutable. Checkpoints let a
 * new process restore the state even though older records have expired.
 *
 * @param retentionRecords minimum number of records that the log retains
 * @param lastCheckpointOffset offset up to which the last checkpoint in the log covers the state,
 *     or -1
 * @param writePending whether a checkpoint of this process was submitted but has not been read back
 *     yet
 */
public record CheckpointSchedule(
    long retentionRecords, long lastCheckpointOffset, boolean writePending) {
  /** Retention, in records, to assume if the settings specify none. */
  public static final long DEFAULT_RETENTION_RECORDS = 100_000;

  /**
   * Creates a schedule that knows of no checkpoint.
   *
   * @param retentionRecords minimum number of records that the log retains, greater than 1
   * @return the schedule
   */
  public static CheckpointSchedule withRetention(long retentionRecords) {
    if (retentionRecords <= 1) {
      throw new IllegalArgumentException(
          "retentionRecords must be greater than 1, but is " + retentionRecords);
    }
    return new CheckpointSchedule(retentionRecords, FoldedState.NO_OFFSET, false);
  }

  /**
   * Records a checkpoint that was read from the log.
   *
   * @param checkpoint the checkpoint
   * @param own whether this process wrote it
   * @return the next schedule
   */
  public CheckpointSchedule onRead(Checkpoint checkpoint, boolean own) {
    long newest = Math.max(lastCheckpointOffset, checkpoint.getUpToOffset());
    return new CheckpointSchedule(retentionRecords, newest, writePending && !own);
  }

  /**
   * Records that a checkpoint was submitted to the log writer.
   *
   * @return the next schedule, under which no other checkpoint is due until this one is read back
   */
  public CheckpointSchedule onSubmitted() {
    return new CheckpointSchedule(retentionRecords, lastCheckpointOffset, true);
  }

  /**
   * Returns the checkpoint to write, if one is due. A checkpoint is due once the number of records
   * since the last one exceeds half of the retention.
   *
   * @param state current state of the fleet lease holder
   * @return the checkpoint, or empty if none is due
   */
  public Optional<Checkpoint> due(FoldedState state) {
    boolean spanExceeded = state.upToOffset() - lastCheckpointOffset > retentionRecords / 2;
    return spanExceeded && !writePending ? Optional.of(state.toCheckpoint()) : Optional.empty();
  }
}
