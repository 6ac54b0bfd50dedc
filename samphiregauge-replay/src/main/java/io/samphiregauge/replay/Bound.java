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
 * Bounds that no policy can pass, with knowledge of the whole trace.
 *
 * <p>Goodput: each request needs the engine time of its uncached prompt at the full prefill rate
 * and of its output in a full batch, at any time between its arrival and its deadline, on any
 * engines and in any pieces; at all times {@code maxBackends} engines serve. The bound counts
 * fractions of requests. For windows on a line, work fits if and only if for each interval the work
 * of the windows inside it is no more than its capacity, and taking requests in order of least work
 * maximizes their number. Windows are widened to whole buckets.
 *
 * <p>Cost: in each billing window of 60 s there are at least as many engines as the densest
 * interval inside it needs for the requests whose windows lie inside it. Each added engine is also
 * paid while it starts. The operators' share of the engines is reclaimable. Work across the edges
 * of billing windows is left out.
 */
final class Bound {
  private static final int BUCKET_MS = 500;
  private static final int BILLING_MS = 60_000;

  private final Trace trace;
  private final ReplaySettings settings;
  private final EngineProfile reference;
  private final int buckets;

  private record Window(int first, int last, double seconds) {}

  private Bound(Trace trace, ReplaySettings settings) {
    this.trace = trace;
    this.settings = settings;
    this.reference = Simulation.reference(settings);
    long end = trace.endMs();
    for (TraceRequest request : trace.requests()) {
      end = Math.max(end, request.getAtMs() + request.getDeadlineMs());
    }
    this.buckets = (int) (end / BUCKET_MS) + 1;
  }

  static ReplayReport of(Trace trace, ReplaySettings settings) {
    return new Bound(trace, settings).report();
  }

  private ReplayReport report() {
    List<Window> windows = new ArrayList<>();
    trace.requests().forEach(request -> windows.add(window(request)));
    int engines = settings.getFleet().getMaxBackends();
    double good = fractionServed(windows, 0, buckets - 1, engines);
    int offered = trace.requests().size();
    long cost = costMicros(windows);
    Latency none = new Latency(0, 0, 0);
    return new ReplayReport(
        trace.name(),
        Replay.BOUND,
        offered,
        (int) Math.floor(good + 1e-6),
        0,
        0,
        Reports.rounded(good / offered),
        none,
        none,
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

  private Window window(TraceRequest request) {
    int first = (int) (request.getAtMs() / BUCKET_MS);
    int last = (int) ((request.getAtMs() + request.getDeadlineMs()) / BUCKET_MS);
    return new Window(first, last, Reports.nominalSeconds(reference, request));
  }

  /** Returns the largest number of requests, with fractions, that fit into some buckets. */
  private double fractionServed(List<Window> windows, int from, int to, int engines) {
    int size = to - from + 1;
    double perBucket = engines * BUCKET_MS / 1_000.0;
    double[][] used = new double[size][size];
    double served = 0;
    List<Window> order = new ArrayList<>(windows);
    order.sort(Comparator.comparingDouble(Window::seconds));
    for (Window window : order) {
      double fits = fits(used, window, from, perBucket);
      take(used, window, from, fits);
      served += fits / window.seconds();
    }
    return served;
  }

  private static double fits(double[][] used, Window window, int from, double perBucket) {
    double fits = window.seconds();
    for (int s = 0; s <= window.first() - from; s++) {
      for (int t = window.last() - from; t < used.length && fits > 0; t++) {
        fits = Math.min(fits, (t - s + 1) * perBucket - used[s][t]);
      }
    }
    return Math.max(0, fits);
  }

  private static void take(double[][] used, Window window, int from, double seconds) {
    if (seconds <= 0) {
      return;
    }
    for (int s = 0; s <= window.first() - from; s++) {
      for (int t = window.last() - from; t < used.length; t++) {
        used[s][t] += seconds;
      }
    }
  }

  private long costMicros(List<Window> windows) {
    int perBilling = BILLING_MS / BUCKET_MS;
    int lastBucket = (int) (trace.endMs() / BUCKET_MS);
    double total = 0;
    int before = -1;
    for (int from = 0; from <= lastBucket; from += perBilling) {
      int to = Math.min(from + perBilling - 1, lastBucket);
      int engines = enginesNeeded(windows, from, to);
      double hours = (to - from + 1) * BUCKET_MS / 3.6e6;
      int added = before < 0 ? 0 : Math.max(0, engines - before);
      total += hours * hourly(engines) + added * startHours() * Meter.hourlyMicros(settings, true);
      before = engines;
    }
    return Math.round(total);
  }

  private double startHours() {
    return settings.getEngine().getStartMs() / 3.6e6;
  }

  private double hourly(int engines) {
    int reclaimable = (int) Math.floor(engines * settings.getFleet().getReclaimableShare());
    return reclaimable * (double) Meter.hourlyMicros(settings, true)
        + (engines - reclaimable) * (double) Meter.hourlyMicros(settings, false);
  }

  private int enginesNeeded(List<Window> windows, int from, int to) {
    int size = to - from + 1;
    double[][] startingAt = new double[size][size];
    for (Window window : windows) {
      if (window.first() >= from && window.last() <= to) {
        startingAt[window.first() - from][window.last() - from] += window.seconds();
      }
    }
    double most = 0;
    double[] endingBy = new double[size];
    for (int s = size - 1; s >= 0; s--) {
      double inside = 0;
      for (int t = s; t < size; t++) {
        endingBy[t] += startingAt[s][t];
        inside += endingBy[t];
        most = Math.max(most, inside / ((t - s + 1) * BUCKET_MS / 1_000.0));
      }
    }
    int needed = (int) Math.ceil(most - 1e-9);
    return Math.max(1, Math.min(settings.getFleet().getMaxBackends(), needed));
  }
}
