package io.samphiregauge.replay;

import io.samphiregauge.schema.replay.ReplaySettings;
import io.samphiregauge.schema.replay.TraceEvent;
import io.samphiregauge.schema.replay.TraceRequest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Writes seeded traces; equal arguments give equal traces. */
final class TraceWriter {
  /** A few teams are large: their shares of the calm load. */
  private static final double[] TEAM_SHARES = {0.30, 0.22, 0.16, 0.08, 0.07, 0.07, 0.05, 0.05};

  private static final double NOT_IDEMPOTENT_SHARE = 0.02;

  /** Lengths vary by this share of their mean to both sides. */
  private static final double LENGTH_SPREAD = 0.4;

  private final ReplaySettings settings;
  private final SplittableRandom random;
  private final double scale;

  private TraceWriter(ReplaySettings settings, long seed, double scale) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.scale = scale;
  }

  /**
   * Writes a trace.
   *
   * @param name name of the trace
   * @param shape what happens
   * @param settings deployment
   * @param seed seed of the random numbers
   * @param scale factor on all times, such as 1/8 for a small version
   */
  static Trace write(
      String name, TraceShape shape, ReplaySettings settings, long seed, double scale) {
    return new TraceWriter(settings, seed, scale).write(name, shape);
  }

  private Trace write(String name, TraceShape shape) {
    List<TraceRequest> requests = new ArrayList<>();
    double startMs = 0;
    for (TracePhase phase : shape.phases()) {
      double endMs = startMs + phase.seconds() * 1_000 * scale;
      arrivals(phase, startMs, endMs, requests);
      startMs = endMs;
    }
    TraceRequest crash = request(0, 2, RequestKind.CRASH);
    shape.crashesAtMs().forEach(atMs -> requests.add(sentAt(crash, scaled(atMs))));
    requests.sort(Comparator.comparingLong(TraceRequest::getAtMs));
    List<TraceEvent> events =
        shape.events().apply(settings.getFailureDomains()).stream()
            .map(e -> new TraceEvent(scaled(e.getAtMs()), e.getEvent(), e.getTarget()))
            .toList();
    return new Trace(name, requests, events);
  }

  private long scaled(long atMs) {
    return Math.round(atMs * scale);
  }

  private void arrivals(TracePhase phase, double startMs, double endMs, List<TraceRequest> out) {
    double[] shares = TEAM_SHARES.clone();
    shares[0] *= phase.stormFactor();
    double total = 0;
    for (double share : shares) {
      total += share;
    }
    double perMs = phase.requestsPerSecondPerEngine() * settings.getEngines() * total / 1_000;
    double atMs = startMs + gap(perMs);
    while (atMs < endMs) {
      out.add(request((long) atMs, pick(shares, total), kind(phase)));
      atMs += gap(perMs);
    }
  }

  private double gap(double perMs) {
    return -StrictMath.log(1 - random.nextDouble()) / perMs;
  }

  private int pick(double[] shares, double total) {
    double left = random.nextDouble() * total;
    for (int i = 0; i < shares.length; i++) {
      left -= shares[i];
      if (left < 0) {
        return i;
      }
    }
    return shares.length - 1;
  }

  private RequestKind kind(TracePhase phase) {
    double left = random.nextDouble();
    for (TracePhase.Weighted weighted : phase.mix()) {
      left -= weighted.weight();
      if (left < 0) {
        return weighted.kind();
      }
    }
    return phase.mix().get(0).kind();
  }

  private TraceRequest request(long atMs, int team, RequestKind kind) {
    int shared = kind.sharedTokens();
    int prompt = Math.max(shared + 1, varied(kind.promptTokens()));
    int prefix = random.nextInt(kind.prefixes());
    String teamName = "t" + (team + 1);
    return new TraceRequest(
        atMs,
        teamName,
        kind.route(),
        "m1",
        prompt,
        varied(kind.outputTokens()),
        teamName + "-" + kind.route() + "-" + prefix,
        shared,
        random.nextDouble() >= NOT_IDEMPOTENT_SHARE,
        kind.deadlineMs());
  }

  /** The same request, as its caller sends it again. */
  private static TraceRequest sentAt(TraceRequest request, long atMs) {
    return new TraceRequest(
        atMs,
        request.getTeam(),
        request.getRoute(),
        request.getModel(),
        request.getPromptTokens(),
        request.getOutputTokens(),
        request.getPrefix(),
        request.getPrefixTokens(),
        request.isIdempotent(),
        request.getDeadlineMs());
  }

  private int varied(int mean) {
    double factor = 1 + LENGTH_SPREAD * (2 * random.nextDouble() - 1);
    return Math.max(1, (int) (mean * factor));
  }
}
