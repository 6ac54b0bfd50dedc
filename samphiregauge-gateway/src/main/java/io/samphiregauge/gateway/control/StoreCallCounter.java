package io.samphiregauge.gateway.control;

import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.Topic;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/**
 * Counts the calls of this entry to the store by purpose, since each call is billed and all entries
 * share its limits. Thread-safe.
 */
public final class StoreCallCounter {
  /** Time between two log lines about the calls, in milliseconds. */
  public static final long LOG_PERIOD_MS = 20_000;

  private static final Logger LOG = System.getLogger(StoreCallCounter.class.getName());

  private final Map<String, LongAdder> counts = new ConcurrentSkipListMap<>();
  private final Consumer<String> metric;

  /**
   * Creates a counter.
   *
   * @param metric receives the name of the metric of each call
   */
  public StoreCallCounter(Consumer<String> metric) {
    this.metric = metric;
  }

  /** Returns a store that counts the calls to another one. */
  public SharedStore count(SharedStore store) {
    return new SharedStore(
        topic -> {
          add(name(topic) + "_snapshot");
          return store.snapshotReader().read(topic);
        },
        (topic, fromOffset, waitMs) -> {
          add(name(topic) + "_read");
          return store.tailReader().read(topic, fromOffset, waitMs);
        },
        (topic, value, expectedEndOffset) -> {
          add(name(topic) + "_append");
          return store.appender().append(topic, value, expectedEndOffset);
        },
        (topic, values, expectedEndOffset) -> {
          add(name(topic) + "_append");
          return store.batchAppender().append(topic, values, expectedEndOffset);
        },
        (member, generation) -> {
          add("join");
          return store.groupJoiner().join(member, generation);
        },
        member -> {
          add("leave");
          return store.groupLeaver().leave(member);
        },
        () -> {
          add("members");
          return store.memberReader().read();
        });
  }

  private static String name(Topic topic) {
    return topic.name().toLowerCase(Locale.ROOT);
  }

  private void add(String purpose) {
    counts.computeIfAbsent(purpose, name -> new LongAdder()).increment();
    metric.accept("store_calls." + purpose);
  }

  /** Logs the calls since the start of the process. */
  public void log() {
    StringBuilder line = new StringBuilder("event=store_calls");
    counts.forEach((purpose, count) -> line.append(' ').append(purpose).append('=').append(count));
    LOG.log(Level.INFO, line.toString());
  }
}
