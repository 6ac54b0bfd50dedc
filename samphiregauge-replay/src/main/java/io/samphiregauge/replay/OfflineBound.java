package io.samphiregauge.replay;

import io.samphiregauge.core.engine.EngineProfile;
import io.samphiregauge.schema.replay.Latency;
import io.samphiregauge.schema.replay.ReplayReport;
import io.samphiregauge.schema.replay.ReplaySettings;
import io.samphiregauge.schema.replay.TraceRequest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Offline bounds on goodput (upper) and cost (lower), computed from the complete trace; no policy
 * can improve on them.
 *
 * <p>Goodput: each request needs the engine time of its uncached prompt at the full prefill rate
 * and of its output in a full batch. The work may run at any time between arrival and deadline, may
 * be interrupted, and may be spread over any engines; {@code maxBackends} engines serve at all
 * times. The bound counts fractions of requests. A set of time windows is feasible if and only if,
 * for each interval, the work of the windows inside it does not exceed the capacity of the
 * interval, and admitting requests in order of least work maximizes their number. Windows are
 * extended to whole buckets.
 *
 * <p>Cost: each billing window of 60 s has at least as many engines as its densest interval needs
 * for the requests whose time windows lie inside it, limited to the range from 1 to {@code
 * maxBackends}. Each added engine is also billed while it starts. The configured share of the
 * engines is reclaimable. Requests whose time windows cross the edge of a billing window are
 * ignored.
 */
final class OfflineBound {
  /** Resolution of time; arrivals and deadlines are extended to whole buckets. */
  private static final int BUCKET_MS = 500;

  private static final int BILLING_WINDOW_MS = 60_000;

  private final Trace trace;
  private final ReplaySettings settings;
  private final EngineProfile referenceProfile;
  private final int bucketCount;

  /** Buckets between arrival and deadline of a request, both inclusive, and its engine time. */
  private record TimeWindow(int firstBucket, int lastBucket, double engineSeconds) {}

  private OfflineBound(Trace trace, ReplaySettings settings) {
    this.trace = trace;
    this.settings = settings;
    this.referenceProfile = Simulation.referenceProfile(settings);
    long end = trace.endMs();
    for (TraceRequest request : trace.requests()) {
      end = Math.max(end, request.getAtMs() + request.getDeadlineMs());
    }
    this.bucketCount = (int) (end / BUCKET_MS) + 1;
  }

  /** Computes the bounds of a trace in the form of a report. */
  static ReplayReport report(Trace trace, ReplaySettings settings) {
    return new OfflineBound(trace, settings).report();
  }

  private ReplayReport report() {
    List<TimeWindow> windows = new ArrayList<>();
    trace.requests().forEach(request -> windows.add(window(request)));
    int engines = settings.getFleet().getMaxBackends();
    double good = maxRequestsServed(windows, 0, bucketCount - 1, engines);
    int offered = trace.requests().size();
    long cost = costMicros(windows);
    Latency noLatency = new Latency(0, 0, 0);
    return new ReplayReport(
        trace.name(),
        Replay.BOUND,
        offered,
        (int) Math.floor(good + 1e-6),
        0,
        0,
        ReportBuilder.roundToFourDecimals(good / offered),
        noLatency,
        noLatency,
        0,
        "",
        1,
        cost,
        Math.round(cost * 1_000 / Math.max(1, good)),
        settings.getFleet().getReclaimableShare(),
        0,
        (int) Math.ceil(offered - good - 1e-6),
        0,
        0,
        0,
        0,
        List.of(),
        List.of());
  }

  private TimeWindow window(TraceRequest request) {
    int first = (int) (request.getAtMs() / BUCKET_MS);
    int last = (int) ((request.getAtMs() + request.getDeadlineMs()) / BUCKET_MS);
    return new TimeWindow(first, last, ReportBuilder.minEngineSeconds(referenceProfile, request));
  }

  /** Returns the maximum number of requests, including fractions, that fit into the buckets. */
  private double maxRequestsServed(
      List<TimeWindow> windows, int firstBucket, int lastBucket, int engines) {
    int size = lastBucket - firstBucket + 1;
    double secondsPerBucket = engines * BUCKET_MS / 1_000.0;
    double[][] reservedSeconds = new double[size][size];
    double served = 0;
    List<TimeWindow> windowsByWork = new ArrayList<>(windows);
    windowsByWork.sort(Comparator.comparingDouble(TimeWindow::engineSeconds));
    for (TimeWindow window : windowsByWork) {
      double seconds = availableSeconds(reservedSeconds, window, firstBucket, secondsPerBucket);
      reserve(reservedSeconds, window, firstBucket, seconds);
      served += seconds / window.engineSeconds();
    }
    return served;
  }

  /** Returns the engine time, up to that of the window, that still fits into the window. */
  private static double availableSeconds(
      double[][] reservedSeconds, TimeWindow window, int originBucket, double secondsPerBucket) {
    double available = window.engineSeconds();
    for (int start = 0; start <= window.firstBucket() - originBucket; start++) {
      for (int end = window.lastBucket() - originBucket;
          end < reservedSeconds.length && available > 0;
          end++) {
        available =
            Math.min(available, (end - start + 1) * secondsPerBucket - reservedSeconds[start][end]);
      }
    }
    return Math.max(0, available);
  }

  /** Adds engine time to all intervals that contain the window. */
  private static void reserve(
      double[][] reservedSeconds, TimeWindow window, int originBucket, double seconds) {
    if (seconds <= 0) {
      return;
    }
    for (int start = 0; start <= window.firstBucket() - originBucket; start++) {
      for (int end = window.lastBucket() - originBucket; end < reservedSeconds.length; end++) {
        reservedSeconds[start][end] += seconds;
      }
    }
  }

  private long costMicros(List<TimeWindow> windows) {
    int bucketsPerBillingWindow = BILLING_WINDOW_MS / BUCKET_MS;
    int lastBucket = (int) (trace.endMs() / BUCKET_MS);
    double total = 0;
    int previousEngines = -1;
    for (int firstBucket = 0; firstBucket <= lastBucket; firstBucket += bucketsPerBillingWindow) {
      int endBucket = Math.min(firstBucket + bucketsPerBillingWindow - 1, lastBucket);
      int engines = minEngines(windows, firstBucket, endBucket);
      double hours = (endBucket - firstBucket + 1) * BUCKET_MS / 3.6e6;
      int added = previousEngines < 0 ? 0 : Math.max(0, engines - previousEngines);
      total +=
          hours * fleetMicrosPerHour(engines)
              + added * startHours() * SimMetrics.microsPerHour(settings, true);
      previousEngines = engines;
    }
    return Math.round(total);
  }

  /** Returns the time in which an added engine is billed but does not serve yet. */
  private double startHours() {
    return settings.getEngine().getStartMs() / 3.6e6;
  }

  /** Returns the hourly price of a fleet with the configured share of reclaimable engines. */
  private double fleetMicrosPerHour(int engines) {
    int reclaimable = (int) Math.floor(engines * settings.getFleet().getReclaimableShare());
    return reclaimable * (double) SimMetrics.microsPerHour(settings, true)
        + (engines - reclaimable) * (double) SimMetrics.microsPerHour(settings, false);
  }

  /**
   * Returns the number of engines that the densest interval of a billing window needs, limited to
   * the range from 1 to {@code maxBackends}.
   */
  private int minEngines(List<TimeWindow> windows, int firstBucket, int lastBucket) {
    int size = lastBucket - firstBucket + 1;
    double[][] secondsByWindow = new double[size][size];
    for (TimeWindow window : windows) {
      if (window.firstBucket() >= firstBucket && window.lastBucket() <= lastBucket) {
        secondsByWindow[window.firstBucket() - firstBucket][window.lastBucket() - firstBucket] +=
            window.engineSeconds();
      }
    }
    double maxDensity = 0;
    double[] secondsByEnd = new double[size];
    for (int start = size - 1; start >= 0; start--) {
      double insideSeconds = 0;
      for (int end = start; end < size; end++) {
        secondsByEnd[end] += secondsByWindow[start][end];
        insideSeconds += secondsByEnd[end];
        maxDensity =
            Math.max(maxDensity, insideSeconds / ((end - start + 1) * BUCKET_MS / 1_000.0));
      }
    }
    int needed = (int) Math.ceil(maxDensity - 1e-9);
    return Math.max(1, Math.min(settings.getFleet().getMaxBackends(), needed));
  }
}
