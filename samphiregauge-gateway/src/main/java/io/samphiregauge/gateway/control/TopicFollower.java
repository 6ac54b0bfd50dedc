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
  private boolean stopped;

  /**
   * How often a topic is read.
   *
   * @param waitMs time for which the store holds a read back until there is a record
   * @param periodMs least time between the starts of two reads
   */
  record Pace(int waitMs, long periodMs) {}

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
    Moment asked = Moment.now();
    control.take(store.newest().read(topic), result -> startFrom(result, asked));
  }

  void stop() {
    stopped = true;
  }

  private void startFrom(Result<StorePage.Records> result, Moment asked) {
    if (stopped) {
      return;
    }
    result.fold(
        page -> {
          regained();
          all.accept(page.records(), asked);
          nextOffset = page.nextOffset();
          tail(asked);
          return true;
        },
        failure -> retry(failure, this::start));
  }

  private void tail(Moment last) {
    long waitMs = pace.periodMs() - Moment.now().since(last);
    if (waitMs > 0) {
      control.after(waitMs, this::read);
    } else {
      read();
    }
  }

  private void read() {
    Moment asked = Moment.now();
    control.take(
        store.tail().read(topic, nextOffset, pace.waitMs()), result -> next(result, asked));
  }

  private void next(Result<StorePage> result, Moment asked) {
    if (stopped) {
      return;
    }
    result.fold(page -> next(page, asked), failure -> retry(failure, this::read));
  }

  private boolean next(StorePage page, Moment asked) {
    regained();
    if (!(page instanceof StorePage.Records records) || records.nextOffset() < nextOffset) {
      LOG.log(Level.INFO, "event=topic_history_lost topic=" + topic + " next_offset=" + nextOffset);
      start();
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
    control.after(RETRY_MS, again);
    return true;
  }

  private void regained() {
    if (failing) {
      failing = false;
      LOG.log(Level.INFO, "event=store_regained topic=" + topic);
    }
  }
}
