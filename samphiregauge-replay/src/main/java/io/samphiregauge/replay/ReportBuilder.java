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

/** Builds the report of a simulation. */
final class ReportBuilder {
  /** Requests that arrive up to this time after a reclaim may count as harmed by it. */
  private static final long RECLAIM_IMPACT_MS = 30_000;

  private final SimResult result;
  private final SimResult withoutEvents;
  private final EngineProfile referenceProfile;
  private final List<String> teams;
  private final int intervalCount;

  /** Engine time of the offered requests by interval and team, in seconds. */
  private final double[][] demandCosts;

  /** Engine time of the good requests by interval and team, in seconds. */
  private final double[][] servedCosts;

  private final int[] offeredCounts;
  private final int[] goodCounts;

  private ReportBuilder(SimResult result, SimResult withoutEvents) {
    this.result = result;
    this.withoutEvents = withoutEvents;
    this.referenceProfile = Simulation.referenceProfile(result.settings());
    this.teams = result.trace().teams();
    this.intervalCount = (int) (result.trace().endMs() / SimMetrics.TIMELINE_INTERVAL_MS) + 1;
    this.demandCosts = new double[intervalCount][teams.size()];
    this.servedCosts = new double[intervalCount][teams.size()];
    this.offeredCounts = new int[intervalCount];
    this.goodCounts = new int[intervalCount];
    result.jobs().forEach(this::countJob);
  }

  /**
   * Builds the report of a simulation.
   *
   * @param result result of the simulation
   * @param withoutEvents result of the same trace without events, to find the requests harmed by a
   *     reclaim
   * @param policy name of the policy
   */
  static ReplayReport build(SimResult result, SimResult withoutEvents, String policy) {
    return new ReportBuilder(result, withoutEvents).build(policy);
  }

  /** Returns the minimum engine time of a request, with a cached prefix, in seconds. */
  static double minEngineSeconds(EngineProfile referenceProfile, TraceRequest request) {
    int uncachedTokens = Math.max(1, request.getPromptTokens() - request.getPrefixTokens());
    return referenceProfile.workMs(uncachedTokens, request.getOutputTokens()) / 1_000;
  }

  private void countJob(SimJob job) {
    int interval = (int) (job.request.getAtMs() / SimMetrics.TIMELINE_INTERVAL_MS);
    int team = teams.indexOf(job.request.getTeam());
    double cost = minEngineSeconds(referenceProfile, job.request);
    demandCosts[interval][team] += cost;
    offeredCounts[interval]++;
    if (hasOutcome(job, SimJob.Outcome.GOOD)) {
      servedCosts[interval][team] += cost;
      goodCounts[interval]++;
    }
  }

  private ReplayReport build(String policy) {
    SimMetrics metrics = result.metrics();
    int offered = result.jobs().size();
    int good = countByOutcome(SimJob.Outcome.GOOD);
    List<TeamService> services = teamServices();
    TeamService worst =
        services.stream()
            .min(Comparator.comparingDouble(TeamService::getShareOfFair))
            .orElseThrow();
    return new ReplayReport(
        result.trace().name(),
        policy,
        offered,
        good,
        countByOutcome(SimJob.Outcome.LATE),
        countByOutcome(SimJob.Outcome.FAILED),
        roundToFourDecimals((double) good / Math.max(1, offered)),
        SimMetrics.percentiles(metrics.firstTokenLatency),
        SimMetrics.percentiles(metrics.interTokenLatency),
        metrics.roleChanges,
        worst.getTeam(),
        worst.getShareOfFair(),
        result.costMicros(),
        result.costMicros() * 1_000 / Math.max(1, good),
        reclaimableShare(),
        wastedPrefill(),
        metrics.refusedNotRun,
        metrics.refusedAfterDispatch,
        harmedByReclaim(),
        metrics.resumedRequests,
        metrics.engineCrashes,
        services,
        timeline());
  }

  private int countByOutcome(SimJob.Outcome outcome) {
    return (int) result.jobs().stream().filter(job -> hasOutcome(job, outcome)).count();
  }

  /** Returns whether a request has the given outcome. */
  private static boolean hasOutcome(SimJob job, SimJob.Outcome outcome) {
    return job.outcome.filter(outcome::equals).isPresent();
  }

  /** Returns the share of the engine time that reclaimable engines spent. */
  private double reclaimableShare() {
    double all = 0;
    double reclaimable = 0;
    for (SimJob job : result.jobs()) {
      all += job.engineMs;
      reclaimable += job.reclaimableEngineMs;
    }
    return roundToFourDecimals(all == 0 ? 0 : reclaimable / all);
  }

  /** Returns the prompt tokens computed for requests that were not good, or computed repeatedly. */
  private long wastedPrefill() {
    long wasted = 0;
    for (SimJob job : result.jobs()) {
      long needed = hasOutcome(job, SimJob.Outcome.GOOD) ? job.request.getPromptTokens() : 0;
      wasted += Math.max(0, job.computedPrefillTokens - needed);
    }
    return wasted;
  }

  /** Counts the requests harmed by reclaims of a failure domain. */
  private int harmedByReclaim() {
    int harmed = 0;
    for (TraceEvent event : result.trace().events()) {
      if (event.getEvent() == TraceEventKind.RECLAIM_DOMAIN) {
        harmed += harmedByReclaimAt(event.getAtMs());
      }
    }
    return harmed;
  }

  /**
   * Counts admitted requests that missed their deadline or failed, did not run on the reclaimed
   * engines, and met their deadline in the run without events.
   */
  private int harmedByReclaimAt(long reclaimMs) {
    return (int)
        result.jobs().stream()
            .filter(
                job ->
                    hasOutcome(job, SimJob.Outcome.LATE) || hasOutcome(job, SimJob.Outcome.FAILED))
            .filter(job -> !job.interruptedByReclaim)
            .filter(job -> hasOutcome(withoutEvents.jobs().get(job.index), SimJob.Outcome.GOOD))
            .filter(job -> job.deadlineUs() / VirtualClock.US_PER_MS >= reclaimMs)
            .filter(job -> job.request.getAtMs() <= reclaimMs + RECLAIM_IMPACT_MS)
            .count();
  }

  /**
   * Returns the service of each team relative to its fair share. The fair share is the sum over all
   * intervals of the team's max-min fair share of the service in the interval.
   */
  private List<TeamService> teamServices() {
    double[] fairTotals = new double[teams.size()];
    double[] servedTotals = new double[teams.size()];
    for (int i = 0; i < intervalCount; i++) {
      double total = 0;
      for (double cost : servedCosts[i]) {
        total += cost;
      }
      double[] shares = MaxMinFairness.shares(demandCosts[i], total);
      for (int t = 0; t < fairTotals.length; t++) {
        fairTotals[t] += shares[t];
        servedTotals[t] += servedCosts[i][t];
      }
    }
    List<TeamService> services = new ArrayList<>();
    for (int t = 0; t < fairTotals.length; t++) {
      services.add(teamService(teams.get(t), servedTotals[t], fairTotals[t]));
    }
    return services;
  }

  private TeamService teamService(String team, double served, double fair) {
    int offeredByTeam = 0;
    int goodOfTeam = 0;
    for (SimJob job : result.jobs()) {
      if (job.request.getTeam().equals(team)) {
        offeredByTeam++;
        goodOfTeam += hasOutcome(job, SimJob.Outcome.GOOD) ? 1 : 0;
      }
    }
    double share = fair == 0 ? 1 : served / fair;
    return new TeamService(
        team, offeredByTeam, goodOfTeam, roundToFourDecimals(served), roundToFourDecimals(share));
  }

  private List<TimelinePoint> timeline() {
    List<TimelinePoint> points = new ArrayList<>();
    SimMetrics metrics = result.metrics();
    for (int i = 0; i < Math.min(intervalCount, metrics.intervalCostMicros.size()); i++) {
      Map<EngineRole, Integer> roles = metrics.intervalRoles.get(i);
      List<Double> teamCost = new ArrayList<>();
      for (double cost : servedCosts[i]) {
        teamCost.add(roundToFourDecimals(cost));
      }
      points.add(
          new TimelinePoint(
              (long) i * SimMetrics.TIMELINE_INTERVAL_MS,
              offeredCounts[i],
              goodCounts[i],
              roles.getOrDefault(EngineRole.MIXED, 0),
              roles.getOrDefault(EngineRole.PREFILL, 0),
              roles.getOrDefault(EngineRole.DECODE, 0),
              metrics.intervalCostMicros.get(i),
              teamCost));
    }
    return points;
  }

  static double roundToFourDecimals(double value) {
    return Math.round(value * 10_000) / 10_000.0;
  }
}
