package io.samphiregauge.replay;

import io.samphiregauge.schema.order.EngineRole;
import io.samphiregauge.schema.replay.Latency;
import io.samphiregauge.schema.replay.ReplaySettings;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Collects the measurements of one simulation; all times are virtual. */
final class SimMetrics {
  /** Interval of the timeline in the report. */
  static final int TIMELINE_INTERVAL_MS = 10_000;

  /** Highest value of the histograms; longer latencies are recorded as this value. */
  private static final long MAX_LATENCY_US = 600_000_000L;

  private static final double US_PER_MS = 1_000;

  /** Time to the first token in microseconds. */
  final Histogram firstTokenLatency = new Histogram(MAX_LATENCY_US, 3);

  /** Time between consecutive tokens of a request in microseconds. */
  final Histogram interTokenLatency = new Histogram(MAX_LATENCY_US, 3);

  /** Number of engines by role at the start of each interval. */
  final List<Map<EngineRole, Integer>> intervalRoles = new ArrayList<>();

  /** Cost of each complete interval in millionths of the currency. */
  final List<Long> intervalCostMicros = new ArrayList<>();

  int roleChanges;
  int resumedRequests;
  int engineCrashes;

  /** Refusals of requests that no engine had accepted. */
  int refusedNotRun;

  /** Refusals with {@code not_run} of requests that an engine had already accepted. */
  int refusedAfterDispatch;

  /** Records the time from arrival to the first token, in microseconds. */
  void recordFirstToken(long us) {
    firstTokenLatency.recordValue(Math.min(MAX_LATENCY_US, Math.max(0, us)));
  }

  /** Records the time between two tokens, in microseconds. */
  void recordTokenGap(long us) {
    interTokenLatency.recordValue(Math.min(MAX_LATENCY_US, Math.max(0, us)));
  }

  /**
   * Records a refusal. A refusal reports that the request did not run, which is true only if no
   * engine has accepted it.
   */
  void recordRefusal(SimJob job) {
    if (job.dispatches == 0) {
      refusedNotRun++;
    } else {
      refusedAfterDispatch++;
    }
  }

  /** Records how many engines have each role now. */
  void sampleRoles(List<SimEngine> engines) {
    Map<EngineRole, Integer> counts = new EnumMap<>(EngineRole.class);
    engines.stream()
        .filter(e -> !e.isTerminated())
        .forEach(e -> counts.merge(e.role(), 1, Integer::sum));
    intervalRoles.add(counts);
  }

  /**
   * Returns the cost of engines in a period. An engine is billed from its order to its termination.
   *
   * @param settings settings with the prices
   * @param engines all engines, terminated ones included
   * @param fromUs start of the period in microseconds of virtual time
   * @param toUs end of the period
   * @return cost in millionths of the currency
   */
  static long costMicros(ReplaySettings settings, List<SimEngine> engines, long fromUs, long toUs) {
    double total = 0;
    for (SimEngine engine : engines) {
      long endUs = engine.isTerminated() ? engine.terminatedUs() : toUs;
      long billedUs = Math.max(0, Math.min(endUs, toUs) - Math.max(engine.orderedUs(), fromUs));
      total += billedUs / 3.6e9 * microsPerHour(settings, engine.profile().reclaimable());
    }
    return Math.round(total);
  }

  /** Returns the hourly price of an engine in millionths of the currency. */
  static long microsPerHour(ReplaySettings settings, boolean reclaimable) {
    return reclaimable
        ? settings.getEngine().getReclaimableMicrosPerHour()
        : settings.getEngine().getOnDemandMicrosPerHour();
  }

  /** Returns the percentiles of a histogram of microseconds, in milliseconds. */
  static Latency percentiles(Histogram histogram) {
    return new Latency(
        histogram.getValueAtPercentile(50) / US_PER_MS,
        histogram.getValueAtPercentile(95) / US_PER_MS,
        histogram.getValueAtPercentile(99) / US_PER_MS);
  }
}
