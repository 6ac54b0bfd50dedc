package io.samphiregauge.gateway.control;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.DualTimestamp;
import io.samphiregauge.gateway.port.ReadResult;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.Topic;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Follows a keyed topic: first the newest record of each key, then what comes after. It starts over
 * when the history that it needs has expired.
 */
final class TopicFollower {
  private static final Logger LOG = System.getLogger(TopicFollower.class.getName());

  /** Pause after a failed read; short, since bounds run from the store's acknowledgement. */
  private static final long RETRY_MS = 250;

  private final ControlThread control;
  private final SharedStore store;
  private final Topic topic;
  private final PollTiming timing;
  private final BiConsumer<List<StoreRecord>, DualTimestamp> snapshotHandler;
  private final BiConsumer<List<StoreRecord>, DualTimestamp> changeHandler;
  private long nextOffset;
  private boolean failing;

  /** Number of the newest start or stop; what belongs to an earlier one is ignored. */
  private long generation;

  /**
   * How often a topic is read.
   *
   * @param waitMs time for which the store holds a read back until there is a record
   * @param minPeriodMs gives the least time between the starts of two reads, in milliseconds
   */
  record PollTiming(int waitMs, LongSupplier minPeriodMs) {}

  /**
   * Prepares to follow a topic.
   *
   * @param control thread that owns the follower
   * @param store the store
   * @param topic the topic
   * @param timing how often to read
   * @param snapshotHandler takes the newest record of each key, and when they were asked for
   * @param changeHandler takes later records, and when they were asked for
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
        ignoreIfRestarted((Result<ReadResult.Records> r) -> onSnapshot(r, requestedAt)));
  }

  /** Drops what comes after a stop, also if the follower was started again since. */
  private <T> Consumer<T> ignoreIfRestarted(Consumer<T> handler) {
    long expectedGeneration = generation;
    return value -> {
      if (generation == expectedGeneration) {
        handler.accept(value);
      }
    };
  }

  private void schedule(long delayMs, Runnable task) {
    Consumer<Runnable> ifNotRestarted = ignoreIfRestarted(Runnable::run);
    control.schedule(delayMs, () -> ifNotRestarted.accept(task));
  }

  void stop() {
    generation++;
  }

  private void onSnapshot(Result<ReadResult.Records> result, DualTimestamp requestedAt) {
    result.fold(
        page -> {
          onReadSucceeded();
          snapshotHandler.accept(page.records(), requestedAt);
          nextOffset = page.nextOffset();
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
        store.tailReader().read(topic, nextOffset, timing.waitMs()),
        ignoreIfRestarted((Result<ReadResult> result) -> onChanges(result, requestedAt)));
  }

  private void onChanges(Result<ReadResult> result, DualTimestamp requestedAt) {
    result.fold(
        page -> onChanges(page, requestedAt), failure -> scheduleRetry(failure, this::readChanges));
  }

  private boolean onChanges(ReadResult page, DualTimestamp requestedAt) {
    onReadSucceeded();
    if (!(page instanceof ReadResult.Records records) || records.nextOffset() < nextOffset) {
      LOG.log(Level.INFO, "event=topic_history_lost topic=" + topic + " next_offset=" + nextOffset);
      readSnapshot();
      return true;
    }
    changeHandler.accept(records.records(), requestedAt);
    nextOffset = records.nextOffset();
    scheduleRead(requestedAt);
    return true;
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
