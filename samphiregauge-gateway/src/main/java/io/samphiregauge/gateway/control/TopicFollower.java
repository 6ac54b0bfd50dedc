package io.samphiregauge.gateway.control;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.port.ReadResult;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.Topic;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Follows a keyed topic of the store: reads the newest record of each key, then the changes. Reads
 * the newest records again when the changes that it needs have expired, or the store was restored.
 * Runs on the control thread.
 */
final class TopicFollower {
  private static final Logger LOG = System.getLogger(TopicFollower.class.getName());

  /**
   * Delay after a failed read. It is short because the time limit for applying a change starts when
   * the store acknowledges the change.
   */
  private static final long RETRY_MS = 250;

  private final ControlThread control;
  private final SharedStore store;
  private final Topic topic;
  private final PollTiming timing;
  private final BiConsumer<List<StoreRecord>, DualTimestamp> snapshotHandler;
  private final BiConsumer<List<StoreRecord>, DualTimestamp> changeHandler;
  private long nextOffset;
  private long era;
  private boolean failing;

  /** Incremented by each start and stop; results and tasks of earlier generations are ignored. */
  private long generation;

  /**
   * Timing of the reads of a topic.
   *
   * @param waitMs provides the maximum time for which the store delays a read until a record
   *     arrives, in milliseconds
   * @param minPeriodMs provides the minimum time between the starts of two reads, in milliseconds
   */
  record PollTiming(IntSupplier waitMs, LongSupplier minPeriodMs) {}

  /**
   * Creates a follower that does not read the store before {@link #start}.
   *
   * @param control thread that owns the follower
   * @param store the store
   * @param topic the topic
   * @param timing timing of the reads
   * @param snapshotHandler receives the newest record of each key, and the time of the request
   * @param changeHandler receives later records, and the time of the request
   */
  TopicFollower(
      ControlThread control,
      SharedStore store,
      Topic topic,
      PollTiming timing,
      BiConsumer<List<StoreRecord>, DualTimestamp> snapshotHandler,
      BiConsumer<List<StoreRecord>, DualTimestamp> changeHandler) {
    this.control = control;
    this.store = store;
    this.topic = topic;
    this.timing = timing;
    this.snapshotHandler = snapshotHandler;
    this.changeHandler = changeHandler;
  }

  void start() {
    generation++;
    readSnapshot();
  }

  private void readSnapshot() {
    DualTimestamp requestedAt = DualTimestamp.now();
    control.onResult(
        store.snapshotReader().read(topic),
        ignoreIfStopped((Result<ReadResult.Records> result) -> onSnapshot(result, requestedAt)));
  }

  /** Returns a handler that ignores values after the next stop or start of the follower. */
  private <T> Consumer<T> ignoreIfStopped(Consumer<T> handler) {
    long expectedGeneration = generation;
    return value -> {
      if (generation == expectedGeneration) {
        handler.accept(value);
      }
    };
  }

  private void schedule(long delayMs, Runnable task) {
    Consumer<Runnable> ifNotStopped = ignoreIfStopped(Runnable::run);
    control.schedule(delayMs, () -> ifNotStopped.accept(task));
  }

  void stop() {
    generation++;
  }

  private void onSnapshot(Result<ReadResult.Records> result, DualTimestamp requestedAt) {
    result.fold(
        page -> {
          onReadSucceeded();
          handle(snapshotHandler, page.records(), requestedAt);
          nextOffset = page.nextOffset();
          era = page.era();
          scheduleRead(requestedAt);
          return true;
        },
        failure -> scheduleRetry(failure, this::readSnapshot));
  }

  private void scheduleRead(DualTimestamp lastRequestedAt) {
    long delayMs =
        timing.minPeriodMs().getAsLong() - DualTimestamp.now().millisSince(lastRequestedAt);
    if (delayMs > 0) {
      schedule(delayMs, this::readChanges);
    } else {
      readChanges();
    }
  }

  private void readChanges() {
    DualTimestamp requestedAt = DualTimestamp.now();
    control.onResult(
        store.tailReader().read(topic, nextOffset, timing.waitMs().getAsInt()),
        ignoreIfStopped((Result<ReadResult> result) -> onChanges(result, requestedAt)));
  }

  private void onChanges(Result<ReadResult> result, DualTimestamp requestedAt) {
    result.fold(
        page -> applyChanges(page, requestedAt),
        failure -> scheduleRetry(failure, this::readChanges));
  }

  private boolean applyChanges(ReadResult page, DualTimestamp requestedAt) {
    onReadSucceeded();
    if (!(page instanceof ReadResult.Records records)
        || records.nextOffset() < nextOffset
        || records.era() != era) {
      LOG.log(Level.INFO, "event=topic_history_lost topic=" + topic + " next_offset=" + nextOffset);
      readSnapshot();
      return true;
    }
    handle(changeHandler, records.records(), requestedAt);
    nextOffset = records.nextOffset();
    scheduleRead(requestedAt);
    return true;
  }

  /** Passes on records. If they cannot be handled, reading them again would not help. */
  private static void handle(
      BiConsumer<List<StoreRecord>, DualTimestamp> handler,
      List<StoreRecord> records,
      DualTimestamp requestedAt) {
    ControlThread.runAndLogFailure(() -> handler.accept(records, requestedAt));
  }

  private boolean scheduleRetry(Failure failure, Runnable read) {
    if (!failing) {
      failing = true;
      LOG.log(
          Level.WARNING,
          "event=store_lost topic=" + topic + " cause=" + failure.type() + " " + failure.message());
    }
    schedule(RETRY_MS, read);
    return true;
  }

  private void onReadSucceeded() {
    if (failing) {
      failing = false;
      LOG.log(Level.INFO, "event=store_regained topic=" + topic);
    }
  }
}
