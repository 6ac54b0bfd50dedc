package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.CacheEvent;
import io.samphiregauge.schema.platform.CacheEventKind;
import io.samphiregauge.schema.platform.CacheEventsPage;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Stores the cache events of an engine and serves them in pages. A lag and dropped events can be
 * configured to test readers.
 */
final class CacheEventLog {
  private static final int MAX_RETAINED_EVENTS = 10_000;
  private static final int MAX_PAGE_EVENTS = 1_000;

  private final LongSupplier nowMs;
  private final List<TimedEvent> events = new ArrayList<>();
  private long nextSequence;
  private int lagMs;
  private int dropInterval;

  private record TimedEvent(CacheEvent event, long recordedMs) {}

  CacheEventLog(LongSupplier nowMs) {
    this.nowMs = nowMs;
  }

  void setLagMs(int value) {
    lagMs = value;
  }

  /**
   * Drops every n-th event, or none if {@code value} is 0. A dropped event still consumes a
   * sequence number, so readers see a gap.
   */
  void setDropInterval(int value) {
    dropInterval = value;
  }

  void add(CacheEventKind kind, String prefix, int tokens) {
    long sequence = nextSequence;
    nextSequence++;
    if (dropInterval > 0 && sequence % dropInterval == dropInterval - 1) {
      return;
    }
    events.add(new TimedEvent(new CacheEvent(sequence, kind, prefix, tokens), nowMs.getAsLong()));
    if (events.size() > MAX_RETAINED_EVENTS) {
      events.remove(0);
    }
  }

  /**
   * Returns the visible events from a sequence number on, at most {@value #MAX_PAGE_EVENTS}. Events
   * younger than the lag are not visible.
   */
  CacheEventsPage page(long fromSequence) {
    long visibleUntilMs = nowMs.getAsLong() - lagMs;
    List<CacheEvent> page =
        events.stream()
            .filter(
                e -> e.recordedMs() <= visibleUntilMs && e.event().getSequence() >= fromSequence)
            .limit(MAX_PAGE_EVENTS)
            .map(TimedEvent::event)
            .toList();
    long next = page.isEmpty() ? fromSequence : page.get(page.size() - 1).getSequence() + 1;
    return new CacheEventsPage(next, page);
  }
}
