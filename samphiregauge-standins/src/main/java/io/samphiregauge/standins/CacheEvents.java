package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.CacheEvent;
import io.samphiregauge.schema.platform.CacheEventKind;
import io.samphiregauge.schema.platform.CacheEventsPage;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/** Cache events of an engine, which its readers see late and with gaps. */
final class CacheEvents {
  private static final int MAX_KEPT_EVENTS = 10_000;
  private static final int MAX_PAGE_EVENTS = 1_000;

  private final LongSupplier nowMs;
  private final List<Timed> events = new ArrayList<>();
  private long nextSequence;
  private int lagMs;
  private int loseEach;

  private record Timed(CacheEvent event, long atMs) {}

  CacheEvents(LongSupplier nowMs) {
    this.nowMs = nowMs;
  }

  void setLagMs(int value) {
    lagMs = value;
  }

  /** Loses every n-th event; its number stays unused, so readers see a gap. */
  void setLoseEach(int value) {
    loseEach = value;
  }

  void add(CacheEventKind kind, String prefix, int tokens) {
    long sequence = nextSequence;
    nextSequence++;
    if (loseEach > 0 && sequence % loseEach == loseEach - 1) {
      return;
    }
    events.add(new Timed(new CacheEvent(sequence, kind, prefix, tokens), nowMs.getAsLong()));
    if (events.size() > MAX_KEPT_EVENTS) {
      events.remove(0);
    }
  }

  CacheEventsPage page(long fromSequence) {
    long visibleUntilMs = nowMs.getAsLong() - lagMs;
    List<CacheEvent> page =
        events.stream()
            .filter(e -> e.atMs() <= visibleUntilMs && e.event().getSequence() >= fromSequence)
            .limit(MAX_PAGE_EVENTS)
            .map(Timed::event)
            .toList();
    long next = page.isEmpty() ? fromSequence : page.get(page.size() - 1).getSequence() + 1;
    return new CacheEventsPage(next, page);
  }
}
