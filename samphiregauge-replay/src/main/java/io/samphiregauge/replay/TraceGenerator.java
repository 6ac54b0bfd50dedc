package io.samphiregauge.replay;

import io.samphiregauge.schema.replay.ReplaySettings;
import io.samphiregauge.schema.replay.TraceEvent;
import io.samphiregauge.schema.replay.TraceRequest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Generates random traces from a seed; equal arguments give equal traces. */
final class TraceGenerator {
  /** Shares of the teams in the calm load; a few teams are large. */
  private static final double[] TEAM_SHARES = {0.30, 0.22, 0.16, 0.08, 0.07, 0.07, 0.05, 0.05};

  private static final double NOT_IDEMPOTENT_SHARE = 0.02;

  /** Maximum deviation of a length from its mean, as a fraction of the mean. */
  private static final double LENGTH_SPREAD = 0.4;

  private final ReplaySettings settings;
  private final SplittableRandom random;
  private final double timeScale;

  private TraceGenerator(ReplaySettings settings, long seed, double timeScale) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.timeScale = timeScale;
  }

  /**
   * Generates a trace with Poisson arrivals.
   *
   * @param name name of the trace
   * @param shape phases and events
   * @param settings settings of the deployment, whose engines determine the arrival rate
   * @param seed seed of the random numbers
   * @param timeScale factor on all times, such as 1/8 for a short version
   */
  static Trace generate(
      String name, TraceShape shape, ReplaySettings settings, long seed, double timeScale) {
    return new TraceGenerator(settings, seed, timeScale).generate(name, shape);
  }

  private Trace generate(String name, TraceShape shape) {
    List<TraceRequest> requests = new ArrayList<>();
    double startMs = 0;
    for (TracePhase phase : shape.phases()) {
      double endMs = startMs + phase.seconds() * 1_000 * timeScale;
      addArrivals(phase, startMs, endMs, requests);
      startMs = endMs;
    }
    TraceRequest crashRequest = newRequest(0, 2, RequestProfile.CRASH);
    shape.crashRequestsAtMs().forEach(atMs -> requests.add(copyAt(crashRequest, scaleTime(atMs))));
    requests.sort(Comparator.comparingLong(TraceRequest::getAtMs));
    List<TraceEvent> events =
        shape.events().apply(settings.getFailureDomains()).stream()
            .map(e -> new TraceEvent(scaleTime(e.getAtMs()), e.getEvent(), e.getTarget()))
            .toList();
    return new Trace(name, requests, events);
  }

  private long scaleTime(long atMs) {
    return Math.round(atMs * timeScale);
  }

  private void addArrivals(
      TracePhase phase, double startMs, double endMs, List<TraceRequest> requests) {
    double[] shares = TEAM_SHARES.clone();
    shares[0] *= phase.largestTeamRateFactor();
    double totalShare = 0;
    for (double share : shares) {
      totalShare += share;
    }
    double ratePerMs =
        phase.requestsPerSecondPerEngine() * settings.getEngines() * totalShare / 1_000;
    double atMs = startMs + nextGapMs(ratePerMs);
    while (atMs < endMs) {
      requests.add(newRequest((long) atMs, pickTeam(shares, totalShare), pickProfile(phase)));
      atMs += nextGapMs(ratePerMs);
    }
  }

  /** Returns a random time between arrivals, exponentially distributed. */
  private double nextGapMs(double ratePerMs) {
    return -StrictMath.log(1 - random.nextDouble()) / ratePerMs;
  }

  private int pickTeam(double[] shares, double totalShare) {
    double remaining = random.nextDouble() * totalShare;
    for (int i = 0; i < shares.length; i++) {
      remaining -= shares[i];
      if (remaining < 0) {
        return i;
      }
    }
    return shares.length - 1;
  }

  private RequestProfile pickProfile(TracePhase phase) {
    double remaining = random.nextDouble();
    for (TracePhase.WeightedProfile weighted : phase.mix()) {
      remaining -= weighted.weight();
      if (remaining < 0) {
        return weighted.profile();
      }
    }
    return phase.mix().get(0).profile();
  }

  private TraceRequest newRequest(long atMs, int team, RequestProfile profile) {
    int sharedPrefixTokens = profile.sharedPrefixTokens();
    int promptTokens = Math.max(sharedPrefixTokens + 1, varyLength(profile.meanPromptTokens()));
    int prefix = random.nextInt(profile.prefixCount());
    String teamName = "t" + (team + 1);
    return new TraceRequest(
        atMs,
        teamName,
        profile.route(),
        "m1",
        promptTokens,
        varyLength(profile.meanOutputTokens()),
        teamName + "-" + profile.route() + "-" + prefix,
        sharedPrefixTokens,
        random.nextDouble() >= NOT_IDEMPOTENT_SHARE,
        profile.deadlineMs());
  }

  /** Returns a copy of a request with another arrival time, for a retry by its caller. */
  private static TraceRequest copyAt(TraceRequest request, long atMs) {
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

  private int varyLength(int mean) {
    double factor = 1 + LENGTH_SPREAD * (2 * random.nextDouble() - 1);
    return Math.max(1, (int) (mean * factor));
  }
}
