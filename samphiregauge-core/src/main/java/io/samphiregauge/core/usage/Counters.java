package io.samphiregauge.core.usage;

import io.samphiregauge.schema.peer.UsageCounter;
import io.samphiregauge.schema.record.UsageFigure;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongPredicate;

/** The usage counters of one process, by window number; immutable. */
record Counters(Map<Long, Figures> byWindow) {
  Counters {
    byWindow = Collections.unmodifiableMap(new TreeMap<>(byWindow));
  }

  static Counters none() {
    return new Counters(Map.of());
  }

  Figures window(long window) {
    return byWindow.getOrDefault(window, Figures.none());
  }

  /** Adds usage to a window. */
  Counters plus(long window, UsageFigure figure) {
    return with(window, window(window).plus(figure));
  }

  /** Merges a copy of the same counters; the greater value of each counter is the newer one. */
  Counters mergeMax(List<UsageCounter> counters) {
    Counters next = this;
    for (UsageCounter counter : counters) {
      Figures figures = next.window(counter.getWindow()).mergeMax(counter.getFigure());
      next = next.with(counter.getWindow(), figures);
    }
    return next;
  }

  Counters without(long window) {
    Map<Long, Figures> next = new TreeMap<>(byWindow);
    next.remove(window);
    return new Counters(next);
  }

  /** Returns the counters of the windows that match the predicate. */
  List<UsageCounter> toList(LongPredicate windows) {
    List<UsageCounter> counters = new ArrayList<>();
    byWindow.forEach(
        (window, figures) -> {
          if (windows.test(window)) {
            figures.toList().forEach(figure -> counters.add(new UsageCounter(window, figure)));
          }
        });
    return counters;
  }

  private Counters with(long window, Figures figures) {
    Map<Long, Figures> next = new TreeMap<>(byWindow);
    next.put(window, figures);
    return new Counters(next);
  }
}
