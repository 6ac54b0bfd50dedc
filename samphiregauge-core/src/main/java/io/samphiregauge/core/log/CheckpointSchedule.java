package io.samphiregauge.core.log;

import io.samphiregauge.schema.record.Checkpoint;
import java.util.Optional;

/**
 * Decides when the whole state is written into the log, so that a new process need not read records
 * that have expired; immutable.
 *
 * @param retentionRecords records that the log keeps at least
 * @param lastCheckpointOffset state offset of the last checkpoint in the log, or -1
 * @param writePending whether an own checkpoint is on its way
 */
public record CheckpointSchedule(
    long retentionRecords, long lastCheckpointOffset, boolean writePending) {
  /** Records between checkpoints where the settings name no retention. */
  public static final long DEFAULT_RETENTION_RECORDS = 100_000;

  /**
   * Starts without a known checkpoint.
   *
   * @param retentionRecords records that the log keeps at least, greater than 1
   * @return the plan
   */
  public static CheckpointSchedule withRetention(long retentionRecords) {
    if (retentionRecords <= 1) {
      throw new IllegalArgumentException("retentionRecords: " + retentionRecords);
    }
    return new CheckpointSchedule(retentionRecords, FoldedState.NO_OFFSET, false);
  }

  /**
   * Notes a checkpoint that was read in the log.
   *
   * @param checkpoint the checkpoint
   * @param own whether this process wrote it
   * @return the next plan
   */
  public CheckpointSchedule onRead(Checkpoint checkpoint, boolean own) {
    long newest = Math.max(lastCheckpointOffset, checkpoint.getUpToOffset());
    return new CheckpointSchedule(retentionRecords, newest, writePending && !own);
  }

  /**
   * Notes that a checkpoint was handed to the log writer.
   *
   * @return the next plan, which asks for no other one until this one was read back
   */
  public CheckpointSchedule onWritten() {
    return new CheckpointSchedule(retentionRecords, lastCheckpointOffset, true);
  }

  /**
   * Returns the checkpoint to write, where one is due: the span since the last one exceeds half of
   * the retention.
   *
   * @param state state of the holder of a fleet lease
   * @return the checkpoint, or empty
   */
  public Optional<Checkpoint> due(FoldedState state) {
    boolean spanExceeded = state.upToOffset() - lastCheckpointOffset > retentionRecords / 2;
    return spanExceeded && !writePending ? Optional.of(state.toCheckpoint()) : Optional.empty();
  }
}
