package io.samphiregauge.replay;

import io.samphiregauge.core.engine.EngineProfile;
import io.samphiregauge.schema.order.EngineRole;
import io.samphiregauge.schema.replay.ReplayReport;
import io.samphiregauge.schema.replay.TeamService;
import io.samphiregauge.schema.replay.TimelinePoint;
import io.samphiregauge.schema.replay.TraceEvent;
import io.samphiregauge.schema.replay.TraceEventKind;
import io.samphiregauge.schema.replay.TraceRequest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Makes the report of a simulation. */
final class Reports {
  /** Requests that arrive so long after a reclaim still count as affected by it. */
  private static final long AFTER_RECLAIM_MS = 30_000;

  private final SimResult result;
  private final SimResult withoutEvents;
  private final EngineProfile reference;
  private final List<String> teams;
  private final int intervals;
  private final double[][] demand;
  private final double[][] served;
  private final int[] offered;
  private final int[] good;

  private Reports(SimResult result, SimResult withoutEvents) {
    this.result = result;
    this.withoutEvents = withoutEvents;
    this.reference = Simulation.reference(result.settings());
    this.teams = result.trace().teams();
    this.intervals = (int) (result.trace().endMs() / Meter.INTERVAL_MS) + 1;
    this.demand = new double[intervals][teams.size()];
    this.served = new double[intervals][teams.size()];
    this.offered = new int[intervals];
    this.good = new int[intervals];
    result.jobs().forEach(this::count);
  }

  /** Makes the report. */
  static ReplayReport of(SimResult result, SimResult withoutEvents, String policy) {
    return new Reports(result, withoutEvents).make(policy);
  }

  /** Engine time that a request takes at best, in seconds. */
  static double nominalSeconds(EngineProfile reference, TraceRequest request) {
    int uncached = Math.max(1, request.getPromptTokens() - request.getPrefixTokens());
    return reference.workMs(uncached, request.getOutputTokens()) / 1_000;
  }

  private void count(SimJob job) {
    int interval = (int) (job.request.getAtMs() / Meter.INTERVAL_MS);
    int team = teams.indexOf(job.request.getTeam());
    double cost = nominalSeconds(reference, job.request);
    demand[interval][team] += cost;
    offered[interval]++;
    if (is(job, SimJob.Outcome.GOOD)) {
      served[interval][team] += cost;
      good[interval]++;
    }
  }

  private ReplayReport make(String policy) {
    Meter meter = result.meter();
    int offeredAll = result.jobs().size();
    int goodAll = number(SimJob.Outcome.GOOD);
    List<TeamService> services = services();
    TeamService worst =
        services.stream()
            .min(Comparator.comparingDouble(TeamService::getShareOfFair))
            .orElseThrow();
    return new ReplayReport(
        result.trace().name(),
        policy,
        offeredAll,
        goodAll,
        number(SimJob.Outcome.LATE),
        number(SimJob.Outcome.FAILED),
        rounded((double) goodAll / Math.max(1, offeredAll)),
        Meter.latency(meter.firstToken),
        Meter.latency(meter.betweenTokens),
        meter.roleChanges,
        worst.getTeam(),
        worst.getShareOfFair(),
        result.costMicros(),
        result.costMicros() * 1_000 / Math.max(1, goodAll),
        reclaimableShare(),
        wastedPrefill(),
        meter.refusedNotRun,
        meter.refusedFalse,
        harmedByReclaim(),
        meter.resumed,
        meter.engineCrashes,
        services,
        timeline());
  }

  private int number(SimJob.Outcome outcome) {
    return (int) result.jobs().stream().filter(job -> is(job, outcome)).count();
  }

  private static boolean is(SimJob job, SimJob.Outcome outcome) {
    return job.outcome.filter(outcome::equals).isPresent();
  }

  private double reclaimableShare() {
    double all = 0;
    double reclaimable = 0;
    for (SimJob job : result.jobs()) {
      all += job.engineMs;
      reclaimable += job.engineMsReclaimable;
    }
    return rounded(all == 0 ? 0 : reclaimable / all);
  }

  private long wastedPrefill() {
    long wasted = 0;
    for (SimJob job : result.jobs()) {
      long needed = is(job, SimJob.Outcome.GOOD) ? job.request.getPromptTokens() : 0;
      wasted += Math.max(0, job.computedPrefill - needed);
    }
    return wasted;
  }

  private int harmedByReclaim() {
    int harmed = 0;
    for (TraceEvent event : result.trace().events()) {
      if (event.getEvent() == TraceEventKind.RECLAIM_DOMAIN) {
        harmed += harmedBy(event.getAtMs());
      }
    }
    return harmed;
  }

  /**
   * Counts admitted requests that missed their deadline, did not run on the lost engines, and were
   * answered in time in a run without the reclaim.
   */
  private int harmedBy(long reclaimMs) {
    return (int)
        result.jobs().stream()
            .filter(job -> is(job, SimJob.Outcome.LATE) || is(job, SimJob.Outcome.FAILED))
            .filter(job -> !job.lostInReclaim)
            .filter(job -> is(withoutEvents.jobs().get(job.number), SimJob.Outcome.GOOD))
            .filter(job -> job.deadlineUs() / VirtualTime.US_PER_MS >= reclaimMs)
            .filter(job -> job.request.getAtMs() <= reclaimMs + AFTER_RECLAIM_MS)
            .count();
  }

  /**
   * The fair share of a team is its max-min share of what was served in each interval; the sum over
   * the intervals is compared with what the team was served.
   */
  private List<TeamService> services() {
    double[] fair = new double[teams.size()];
    double[] got = new double[teams.size()];
    for (int i = 0; i < intervals; i++) {
      double total = 0;
      for (double cost : served[i]) {
        total += cost;
      }
      double[] shares = FairShares.of(demand[i], total);
      for (int t = 0; t < fair.length; t++) {
        fair[t] += shares[t];
        got[t] += served[i][t];
      }
    }
    List<TeamService> services = new ArrayList<>();
    for (int t = 0; t < fair.length; t++) {
      services.add(service(teams.get(t), got[t], fair[t]));
    }
    return services;
  }

  private TeamService service(String team, double got, double fair) {
    int offeredByTeam = 0;
    int goodOfTeam = 0;
    for (SimJob job : result.jobs()) {
      if (job.request.getTeam().equals(team)) {
        offeredByTeam++;
        goodOfTeam += is(job, SimJob.Outcome.GOOD) ? 1 : 0;
      }
    }
    double share = fair == 0 ? 1 : got / fair;
    return new TeamService(team, offeredByTeam, goodOfTeam, rounded(got), rounded(share));
  }

  private List<TimelinePoint> timeline() {
    List<TimelinePoint> points = new ArrayList<>();
    Meter meter = result.meter();
    for (int i = 0; i < Math.min(intervals, meter.costMicros.size()); i++) {
      Map<EngineRole, Integer> roles = meter.roles.get(i);
      List<Double> teamCost = new ArrayList<>();
      for (double cost : served[i]) {
        teamCost.add(rounded(cost));
      }
      points.add(
          new TimelinePoint(
              (long) i * Meter.INTERVAL_MS,
              offered[i],
              good[i],
              roles.getOrDefault(EngineRole.MIXED, 0),
              roles.getOrDefault(EngineRole.PREFILL, 0),
              roles.getOrDefault(EngineRole.DECODE, 0),
              meter.costMicros.get(i),
              teamCost));
    }
    return points;
  }

  static double rounded(double value) {
    return Math.round(value * 10_000) / 10_000.0;
  }
}
