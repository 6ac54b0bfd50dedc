package io.samphiregauge.replay;

import io.samphiregauge.schema.order.EngineRole;
import io.samphiregauge.schema.replay.Latency;
import io.samphiregauge.schema.replay.ReplaySettings;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Collects what happens in a replay. */
final class SimMetrics {
  static final int TIMELINE_INTERVAL_MS = 10_000;
  private static final long MAX_LATENCY_US = 600_000_000L;
  private static final double US_PER_MS = 1_000;

  final Histogram firstTokenLatency = new Histogram(MAX_LATENCY_US, 3);
  final Histogram interTokenLatency = new Histogram(MAX_LATENCY_US, 3);
  final List<Map<EngineRole, Integer>> intervalRoles = new ArrayList<>();
  final List<Long> intervalCostMicros = new ArrayList<>();
  int roleChanges;
  int resumedRequests;
  int engineCrashes;
  int refusedNotRun;
  int refusedFalse;

  void recordFirstToken(long us) {
    firstTokenLatency.recordValue(Math.min(MAX_LATENCY_US, Math.max(0, us)));
  }

  void recordTokenGap(long us) {
    interTokenLatency.recordValue(Math.min(MAX_LATENCY_US, Math.max(0, us)));
  }

  /** A refusal says that the request did not run, which is true only if it was never sent. */
  void recordRefusal(SimJob job) {
    if (job.dispatches == 0) {
      refusedNotRun++;
    } else {
      refusedFalse++;
    }
  }

  void sampleRoles(List<SimEngine> engines) {
    Map<EngineRole, Integer> counts = new EnumMap<>(EngineRole.class);
    engines.stream()
        .filter(e -> !e.isTerminated())
        .forEach(e -> counts.merge(e.role(), 1, Integer::sum));
    intervalRoles.add(counts);
  }

  static long costMicros(ReplaySettings settings, List<SimEngine> engines, long fromUs, long toUs) {
    double total = 0;
    for (SimEngine engine : engines) {
      long endUs = engine.isTerminated() ? engine.terminatedUs() : toUs;
      long billedUs = Math.max(0, Math.min(endUs, toUs) - Math.max(engine.orderedUs(), fromUs));
      total += billedUs / 3.6e9 * microsPerHour(settings, engine.profile().reclaimable());
    }
    return Math.round(total);
  }

  static long microsPerHour(ReplaySettings settings, boolean reclaimable) {
    return reclaimable
        ? settings.getEngine().getReclaimableMicrosPerHour()
        : settings.getEngine().getOnDemandMicrosPerHour();
  }

  static Latency percentiles(Histogram histogram) {
    return new Latency(
        histogram.getValueAtPercentile(50) / US_PER_MS,
        histogram.getValueAtPercentile(95) / US_PER_MS,
        histogram.getValueAtPercentile(99) / US_PER_MS);
  }
}
