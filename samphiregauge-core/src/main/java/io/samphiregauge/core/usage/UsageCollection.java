package io.samphiregauge.core.usage;

import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.peer.UsageAnswer;
import io.samphiregauge.schema.peer.UsageCopy;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.MissingUsage;
import io.samphiregauge.schema.record.UsageSealed;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Counters of one window as they come in; immutable. */
record UsageCollection(
    String region,
    long window,
    Set<Incarnation> awaited,
    Map<Incarnation, Counters> counters,
    long deadlineMs,
    long nextQueryMs) {

  /** Windows after which counters that nobody offered count as zero. */
  private static final long EXPIRY_WINDOWS = 30;

  UsageCollection {
    awaited = Collections.unmodifiableSet(new LinkedHashSet<>(awaited));
    counters = Collections.unmodifiableMap(new LinkedHashMap<>(counters));
  }

  UsageCollection withResponse(UsageAnswer answer) {
    if (answer.getWindow() != window) {
      return this;
    }
    Set<Incarnation> remaining = new LinkedHashSet<>(awaited);
    Map<Incarnation, Counters> next = new LinkedHashMap<>(counters);
    for (UsageCopy copy : answer.getCopies()) {
      remaining.remove(copy.getOwner());
      Counters current = next.getOrDefault(copy.getOwner(), Counters.none());
      next.put(copy.getOwner(), current.mergeMax(copy.getCounters()));
    }
    return new UsageCollection(region, window, remaining, next, deadlineMs, nextQueryMs);
  }

  UsageCollection withNextQuery(long nextMs) {
    return new UsageCollection(region, window, awaited, counters, deadlineMs, nextMs);
  }

  boolean isComplete(long nowMs) {
    return awaited.isEmpty() || nowMs >= deadlineMs;
  }

  UsageSealed seal(FoldedState state, long token) {
    Figures figures = Figures.none();
    for (Counters owner : counters.values()) {
      figures = figures.plusAll(owner.window(window).toList());
    }
    Figures corrections = Figures.none();
    List<MissingUsage> corrected = new ArrayList<>();
    for (MissingUsage missing : state.missingUsage()) {
      if (!missing.getRegion().equals(region) || !isResolved(missing)) {
        continue;
      }
      corrected.add(missing);
      Counters lateCounters = counters.getOrDefault(missing.getOwner(), Counters.none());
      corrections = corrections.plusAll(lateCounters.window(missing.getWindow()).toList());
    }
    return new UsageSealed(
        region, window, token, figures.toList(), corrections.toList(), missing(), corrected);
  }

  /** Late counters have arrived, or are not expected any more. */
  private boolean isResolved(MissingUsage missing) {
    Incarnation owner = missing.getOwner();
    boolean hasCounters =
        counters.containsKey(owner)
            && counters.get(owner).byWindow().containsKey(missing.getWindow());
    return hasCounters || missing.getWindow() < window - EXPIRY_WINDOWS;
  }

  private List<MissingUsage> missing() {
    return awaited.stream().map(owner -> new MissingUsage(region, window, owner)).toList();
  }
}
