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
final class Meter {
  static final int INTERVAL_MS = 10_000;
  private static final long HIGHEST_US = 600_000_000L;
  private static final double US_PER_MS = 1_000;

  final Histogram firstToken = new Histogram(HIGHEST_US, 3);
  final Histogram betweenTokens = new Histogram(HIGHEST_US, 3);
  final List<Map<EngineRole, Integer>> roles = new ArrayList<>();
  final List<Long> costMicros = new ArrayList<>();
  int roleChanges;
  int resumed;
  int engineCrashes;
  int refusedNotRun;
  int refusedFalse;

  void firstToken(long us) {
    firstToken.recordValue(Math.min(HIGHEST_US, Math.max(0, us)));
  }

  void gap(long us) {
    betweenTokens.recordValue(Math.min(HIGHEST_US, Math.max(0, us)));
  }

  /** A refusal says that the request did not run, which is true only if it was never sent. */
  void refused(SimJob job) {
    if (job.dispatches == 0) {
      refusedNotRun++;
    } else {
      refusedFalse++;
    }
  }

  void roles(List<SimEngine> engines) {
    Map<EngineRole, Integer> counts = new EnumMap<>(EngineRole.class);
    engines.stream().filter(e -> !e.gone()).forEach(e -> counts.merge(e.role(), 1, Integer::sum));
    roles.add(counts);
  }

  static long costMicros(ReplaySettings settings, List<SimEngine> engines, long fromUs, long toUs) {
    double total = 0;
    for (SimEngine engine : engines) {
      long end = engine.gone() ? engine.endedUs() : toUs;
      long paidUs = Math.max(0, Math.min(end, toUs) - Math.max(engine.orderedUs(), fromUs));
      total += paidUs / 3.6e9 * hourlyMicros(settings, engine.profile().reclaimable());
    }
    return Math.round(total);
  }

  static long hourlyMicros(ReplaySettings settings, boolean reclaimable) {
    return reclaimable
        ? settings.getEngine().getReclaimableMicrosPerHour()
        : settings.getEngine().getOnDemandMicrosPerHour();
  }

  static Latency latency(Histogram histogram) {
    return new Latency(
        histogram.getValueAtPercentile(50) / US_PER_MS,
        histogram.getValueAtPercentile(95) / US_PER_MS,
        histogram.getValueAtPercentile(99) / US_PER_MS);
  }
}
