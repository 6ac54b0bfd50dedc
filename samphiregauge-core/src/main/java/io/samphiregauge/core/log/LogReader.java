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
 * Folds what is read from the log or relayed by peers; immutable.
 *
 * <p>The state never moves backwards: a page or checkpoint with nothing newer changes nothing.
 *
 * @param state state folded so far
 * @param seekOffset where to look for a checkpoint because earlier records expired, or empty
 */
public record LogReader(FoldedState state, Optional<Long> seekOffset) {

  /** What became of the records. */
  public sealed interface ReadOutcome {
    /** A record was folded, or ignored for a reason. */
    record Folded(RecordAt recordAt, Optional<Failure> rejection) implements ReadOutcome {
      /** Tells whether the fold accepted the record. */
      public boolean accepted() {
        return rejection.isEmpty();
      }
    }

    /** The state was taken over as a whole. */
    record Restored(FoldedState state) implements ReadOutcome {}
  }

  /** A checkpoint that is not newer than the state held. */
  public record OldSnapshot(long offset, long currentOffset) implements Failure {
    @Override
    public String type() {
      return "old_snapshot";
    }

    @Override
    public String message() {
      return "The snapshot ends at offset %d, but the state held is at %d."
          .formatted(offset, currentOffset);
    }
  }

  /**
   * Makes the reader of a process that has read nothing.
   *
   * @return a reader at the start of the log
   */
  public static LogReader atStart() {
    return new LogReader(FoldedState.empty(), Optional.empty());
  }

  /**
   * Tells where to read next.
   *
   * @return first offset to ask the log for
   */
  public long nextOffset() {
    return seekOffset.orElse(state.upToOffset() + 1);
  }

  /**
   * Tells whether a page left nothing unread.
   *
   * @param page page that was read last
   * @return true where the state is that of the end of the log
   */
  public boolean isCaughtUp(RecordsPage page) {
    return seekOffset.isEmpty() && state.upToOffset() + 1 >= page.getNextOffset();
  }

  /**
   * Takes a page of the log.
   *
   * @param page the page
   * @return the next reader, and what became of the records
   */
  public Step<LogReader, ReadOutcome> read(RecordsPage page) {
    boolean expired = page.getFirstOffset() > state.upToOffset() + 1;
    if (expired) {
      return seekCheckpoint(page);
    }
    return foldAll(page.getRecords());
  }

  /**
   * Takes records that a peer relayed.
   *
   * @param afterOffset offset that the peer's records come after
   * @param records the records
   * @return the next reader; it is unchanged where records between are missing
   */
  public Step<LogReader, ReadOutcome> readRelayed(long afterOffset, List<RecordAt> records) {
    return afterOffset > state.upToOffset() ? Step.to(this) : foldAll(records);
  }

  /**
   * Takes over a whole state, from a checkpoint or a peer.
   *
   * @param checkpoint the state
   * @return the next reader, or that the state held is as new
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

  /** Uses the newest checkpoint of the page after which no record is missing. */
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
