package io.samphiregauge.core.log;

import io.samphiregauge.core.Step;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.peer.RecordAt;
import io.samphiregauge.schema.platform.RecordsPage;
import io.samphiregauge.schema.record.Checkpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Applies records that were read from the log or relayed by peers; immutable.
 *
 * <p>The state never moves backwards: records and checkpoints that are not newer have no effect.
 *
 * @param state state computed so far
 * @param seekOffset offset from which to search for a checkpoint because the next records have
 *     expired, or empty
 */
public record LogReader(FoldedState state, Optional<Long> seekOffset) {

  /** The outcome of processing a record or a checkpoint. */
  public sealed interface ReadOutcome {
    /** A record was applied, or rejected for the given reason. */
    record Folded(RecordAt recordAt, Optional<Failure> rejection) implements ReadOutcome {
      /** Returns whether the record was accepted. */
      public boolean accepted() {
        return rejection.isEmpty();
      }
    }

    /** The whole state was replaced by a checkpoint. */
    record Restored(FoldedState state) implements ReadOutcome {}
  }

  /** The checkpoint is not newer than the current state. */
  public record OldSnapshot(long offset, long currentOffset) implements Failure {
    @Override
    public String type() {
      return "old_snapshot";
    }

    @Override
    public String message() {
      return "The checkpoint ends at offset %d, but the current state is at offset %d."
          .formatted(offset, currentOffset);
    }
  }

  /**
   * Creates a reader with the empty state.
   *
   * @return a reader positioned at the start of the log
   */
  public static LogReader atStart() {
    return new LogReader(FoldedState.empty(), Optional.empty());
  }

  /**
   * Returns the offset from which to read next.
   *
   * @return first offset to request from the log
   */
  public long nextOffset() {
    return seekOffset.orElse(state.upToOffset() + 1);
  }

  /**
   * Returns whether the state has reached the end of the log.
   *
   * @param page the last page that was read
   * @return true if the state includes every record that was stored when the page was read
   */
  public boolean isCaughtUp(RecordsPage page) {
    return seekOffset.isEmpty() && state.upToOffset() + 1 >= page.getNextOffset();
  }

  /**
   * Applies a page of the log. If records before the page have expired, searches the page for a
   * checkpoint to restore.
   *
   * @param page the page
   * @return the next reader and the outcomes in log order
   */
  public Step<LogReader, ReadOutcome> read(RecordsPage page) {
    boolean expired = page.getFirstOffset() > state.upToOffset() + 1;
    if (expired) {
      return seekCheckpoint(page);
    }
    return foldAll(page.getRecords());
  }

  /**
   * Applies records that a peer relayed.
   *
   * @param afterOffset offset after which the records start
   * @param records consecutive records
   * @return the next reader; unchanged if records between its state and the relayed ones are
   *     missing
   */
  public Step<LogReader, ReadOutcome> readRelayed(long afterOffset, List<RecordAt> records) {
    return afterOffset > state.upToOffset() ? Step.to(this) : foldAll(records);
  }

  /**
   * Replaces the state by a checkpoint from the log or from a peer.
   *
   * @param checkpoint the state up to an offset
   * @return the next reader, or {@link OldSnapshot} if the checkpoint is not newer
   */
  public Result<Step<LogReader, ReadOutcome>> restore(Checkpoint checkpoint) {
    if (checkpoint.getUpToOffset() <= state.upToOffset()) {
      return Result.failed(new OldSnapshot(checkpoint.getUpToOffset(), state.upToOffset()));
    }
    FoldedState restored = Fold.restore(checkpoint);
    return Result.success(
        Step.to(new LogReader(restored, Optional.empty()), new ReadOutcome.Restored(restored)));
  }

  private Step<LogReader, ReadOutcome> foldAll(List<RecordAt> records) {
    FoldedState next = state;
    List<ReadOutcome> outcomes = new ArrayList<>();
    for (RecordAt recordAt : records) {
      if (recordAt.getOffset() <= next.upToOffset()) {
        continue;
      }
      FoldStep step = Fold.apply(next, recordAt.getOffset(), recordAt.getRecord());
      next = step.state();
      outcomes.add(new ReadOutcome.Folded(recordAt, step.rejection()));
    }
    return new Step<>(new LogReader(next, Optional.empty()), outcomes);
  }

  /**
   * Restores the last checkpoint in the page that covers all records before the page. If there is
   * none, continues the search after the records of the page.
   */
  private Step<LogReader, ReadOutcome> seekCheckpoint(RecordsPage page) {
    long seekFrom = Math.max(nextOffset(), page.getFirstOffset());
    Optional<Checkpoint> newest = Optional.empty();
    for (RecordAt recordAt : page.getRecords()) {
      seekFrom = Math.max(seekFrom, recordAt.getOffset() + 1);
      if (recordAt.getRecord().getBody() instanceof Checkpoint checkpoint
          && reachesPage(checkpoint, page)) {
        newest = Optional.of(checkpoint);
      }
    }
    LogReader seeking = new LogReader(state, Optional.of(seekFrom));
    return newest.flatMap(c -> restore(c).value()).orElseGet(() -> Step.to(seeking));
  }

  private static boolean reachesPage(Checkpoint checkpoint, RecordsPage page) {
    return checkpoint.getUpToOffset() >= page.getFirstOffset() - 1;
  }
}
