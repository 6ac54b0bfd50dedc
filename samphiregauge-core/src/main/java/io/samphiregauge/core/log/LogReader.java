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
  public sealed interface Read {
    /** A record was folded, or ignored for a reason. */
    record Folded(RecordAt at, Optional<Failure> rejection) implements Read {
      /** Tells whether the fold accepted the record. */
      public boolean accepted() {
        return rejection.isEmpty();
      }
    }

    /** The state was taken over as a whole. */
    record Restored(FoldedState state) implements Read {}
  }

  /** A checkpoint that is not newer than the state held. */
  public record OldSnapshot(long offset, long heldOffset) implements Failure {
    @Override
    public String type() {
      return "old_snapshot";
    }

    @Override
    public String message() {
      return "The snapshot ends at offset %d, but the state held is at %d."
          .formatted(offset, heldOffset);
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
  public Step<LogReader, Read> read(RecordsPage page) {
    boolean expired = page.getFirstOffset() > state.upToOffset() + 1;
    if (expired) {
      return seek(page);
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
  public Step<LogReader, Read> relayed(long afterOffset, List<RecordAt> records) {
    return afterOffset > state.upToOffset() ? Step.to(this) : foldAll(records);
  }

  /**
   * Takes over a whole state, from a checkpoint or a peer.
   *
   * @param checkpoint the state
   * @return the next reader, or that the state held is as new
   */
  public Result<Step<LogReader, Read>> restore(Checkpoint checkpoint) {
    if (checkpoint.getUpToOffset() <= state.upToOffset()) {
      return Result.failed(new OldSnapshot(checkpoint.getUpToOffset(), state.upToOffset()));
    }
    FoldedState restored = Fold.restore(checkpoint);
    return Result.success(
        Step.to(new LogReader(restored, Optional.empty()), new Read.Restored(restored)));
  }

  private Step<LogReader, Read> foldAll(List<RecordAt> records) {
    FoldedState next = state;
    List<Read> reads = new ArrayList<>();
    for (RecordAt at : records) {
      if (at.getOffset() <= next.upToOffset()) {
        continue;
      }
      FoldStep step = Fold.apply(next, at.getOffset(), at.getRecord());
      next = step.state();
      reads.add(new Read.Folded(at, step.rejection()));
    }
    return new Step<>(new LogReader(next, Optional.empty()), reads);
  }

  /** Uses the newest checkpoint of the page after which no record is missing. */
  private Step<LogReader, Read> seek(RecordsPage page) {
    long seekFrom = Math.max(nextOffset(), page.getFirstOffset());
    Optional<Checkpoint> newest = Optional.empty();
    for (RecordAt at : page.getRecords()) {
      seekFrom = Math.max(seekFrom, at.getOffset() + 1);
      if (at.getRecord().getBody() instanceof Checkpoint checkpoint && fits(checkpoint, page)) {
        newest = Optional.of(checkpoint);
      }
    }
    LogReader seeking = new LogReader(state, Optional.of(seekFrom));
    return newest.flatMap(c -> restore(c).value()).orElseGet(() -> Step.to(seeking));
  }

  private static boolean fits(Checkpoint checkpoint, RecordsPage page) {
    return checkpoint.getUpToOffset() >= page.getFirstOffset() - 1;
  }
}
