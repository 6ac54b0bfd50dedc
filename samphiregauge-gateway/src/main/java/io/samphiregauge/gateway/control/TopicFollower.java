package io.samphiregauge.gateway.control;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.Moment;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StorePage;
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
  private final Pace pace;
  private final BiConsumer<List<StoreRecord>, Moment> all;
  private final BiConsumer<List<StoreRecord>, Moment> changes;
  private long nextOffset;
  private boolean failing;

  /** Number of the newest start or stop; what belongs to an earlier one is ignored. */
  private long run;

  /**
   * How often a topic is read.
   *
   * @param waitMs time for which the store holds a read back until there is a record
   * @param periodMs gives the least time between the starts of two reads, in milliseconds
   */
  record Pace(int waitMs, LongSupplier periodMs) {}

  /**
   * Prepares to follow a topic.
   *
   * @param control thread that owns the follower
   * @param store the store
   * @param topic the topic
   * @param pace how often to read
   * @param all takes the newest record of each key, and when they were asked for
   * @param changes takes later records, and when they were asked for
   */
  TopicFollower(
      ControlThread control,
      SharedStore store,
      Topic topic,
      Pace pace,
      BiConsumer<List<StoreRecord>, Moment> all,
      BiConsumer<List<StoreRecord>, Moment> changes) {
    this.control = control;
    this.store = store;
    this.topic = topic;
    this.pace = pace;
    this.all = all;
    this.changes = changes;
  }

  void start() {
    run++;
    readNewest();
  }

  private void readNewest() {
    Moment asked = Moment.now();
    control.take(
        store.newest().read(topic),
        inThisRun((Result<StorePage.Records> r) -> startFrom(r, asked)));
  }

  /** Drops what comes after a stop, also if the follower was started again since. */
  private <T> Consumer<T> inThisRun(Consumer<T> taker) {
    long current = run;
    return value -> {
      if (run == current) {
        taker.accept(value);
      }
    };
  }

  private void later(long delayMs, Runnable next) {
    Consumer<Runnable> guarded = inThisRun(Runnable::run);
    control.after(delayMs, () -> guarded.accept(next));
  }

  void stop() {
    run++;
  }

  private void startFrom(Result<StorePage.Records> result, Moment asked) {
    result.fold(
        page -> {
          regained();
          all.accept(page.records(), asked);
          nextOffset = page.nextOffset();
          tail(asked);
          return true;
        },
        failure -> retry(failure, this::readNewest));
  }

  private void tail(Moment last) {
    long waitMs = pace.periodMs().getAsLong() - Moment.now().since(last);
    if (waitMs > 0) {
      later(waitMs, this::read);
    } else {
      read();
    }
  }

  private void read() {
    Moment asked = Moment.now();
    control.take(
        store.tail().read(topic, nextOffset, pace.waitMs()),
        inThisRun((Result<StorePage> result) -> next(result, asked)));
  }

  private void next(Result<StorePage> result, Moment asked) {
    result.fold(page -> next(page, asked), failure -> retry(failure, this::read));
  }

  private boolean next(StorePage page, Moment asked) {
    regained();
    if (!(page instanceof StorePage.Records records) || records.nextOffset() < nextOffset) {
      LOG.log(Level.INFO, "event=topic_history_lost topic=" + topic + " next_offset=" + nextOffset);
      readNewest();
      return true;
    }
    changes.accept(records.records(), asked);
    nextOffset = records.nextOffset();
    tail(asked);
    return true;
  }

  private boolean retry(Failure failure, Runnable again) {
    if (!failing) {
      failing = true;
      LOG.log(
          Level.WARNING,
          "event=store_lost topic=" + topic + " cause=" + failure.type() + " " + failure.message());
    }
    later(RETRY_MS, again);
    return true;
  }

  private void regained() {
    if (failing) {
      failing = false;
      LOG.log(Level.INFO, "event=store_regained topic=" + topic);
    }
  }
}
