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

/**
 * Collects the counters of one window from the entries of a region; immutable.
 *
 * @param region region of the window
 * @param window number of the window
 * @param awaited processes whose counters have not been received yet
 * @param counters counters received so far, by the process that counted them
 * @param deadlineMs time at which the window is sealed without the missing counters
 * @param nextQueryMs time of the next query to the awaited processes
 */
record UsageCollection(
    String region,
    long window,
    Set<Incarnation> awaited,
    Map<Incarnation, Counters> counters,
    long deadlineMs,
    long nextQueryMs) {

  /** Missing counters that are older than this number of windows are assumed to be zero. */
  private static final long EXPIRY_WINDOWS = 30;

  UsageCollection {
    awaited = Collections.unmodifiableSet(new LinkedHashSet<>(awaited));
    counters = Collections.unmodifiableMap(new LinkedHashMap<>(counters));
  }

  UsageCollection withResponse(UsageAnswer response) {
    if (response.getWindow() != window) {
      return this;
    }
    Set<Incarnation> remaining = new LinkedHashSet<>(awaited);
    Map<Incarnation, Counters> next = new LinkedHashMap<>(counters);
    for (UsageCopy copy : response.getCopies()) {
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

  /** Creates the seal of the window, including late counters of windows that were sealed before. */
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

  /** Returns whether the missing counters were received, or have expired. */
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
