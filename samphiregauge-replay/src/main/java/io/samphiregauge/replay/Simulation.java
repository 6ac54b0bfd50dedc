package io.samphiregauge.replay;

import io.samphiregauge.core.engine.EngineProfile;
import io.samphiregauge.core.engine.EngineReport;
import io.samphiregauge.core.engine.PrefixIndex;
import io.samphiregauge.core.fleet.FleetEngine;
import io.samphiregauge.schema.replay.ReplaySettings;
import io.samphiregauge.schema.replay.TraceEvent;
import io.samphiregauge.schema.replay.TraceRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Discrete-event simulation of one trace under one set of policies. All entries, engines and the
 * fleet controller run in virtual time on the calling thread; an instance runs once.
 */
final class Simulation implements SimEngine.Listener {
  /** Simulated time after the last arrival in which the remaining requests can complete. */
  private static final long DRAIN_MS = 30_000;

  private static final long US_PER_MS = VirtualClock.US_PER_MS;

  private final Trace trace;
  private final ReplaySettings settings;
  private final VirtualClock clock = new VirtualClock();
  private final SimMetrics metrics = new SimMetrics();
  private final List<SimDispatcher> dispatchers = new ArrayList<>();
  private final List<SimJob> jobs = new ArrayList<>();
  private final Map<String, Integer> crashesByFingerprint = new HashMap<>();
  private final boolean fairQueueing;
  private final SimFleet fleet;
  private final FleetController fleetController;

  Simulation(Trace trace, ReplaySettings settings, PolicySet policySet, long seed) {
    this.trace = trace;
    this.settings = settings;
    this.fairQueueing = policySet.fairQueueing();
    this.fleet = new SimFleet(clock, settings, this, this::onServing);
    this.fleetController =
        new FleetController(clock, settings, policySet, fleet, dispatchers, metrics);
    EngineProfile referenceProfile = referenceProfile(settings);
    List<String> domains = settings.getFailureDomains();
    for (int i = 0; i < settings.getEntries(); i++) {
      SimEntry entry =
          new SimEntry(
              i, domains.get(i % domains.size()), settings.getEntries(), policySet, clock, seed);
      dispatchers.add(
          new SimDispatcher(
              entry, clock, settings, referenceProfile, fleet, metrics, policySet.fairQueueing()));
    }
    fleet.startInitialEngines(policySet.initialRoles().apply(settings));
  }

  /** Returns the profile of an on-demand engine, by which the cost of requests is measured. */
  static EngineProfile referenceProfile(ReplaySettings settings) {
    var model = settings.getEngine();
    return new EngineProfile(
        "reference",
        settings.getFailureDomains().get(0),
        false,
        model.getPrefillTokensPerSecond(),
        model.getStepBaseMs(),
        model.getStepPerSequenceMs(),
        model.getSlots(),
        model.getMixedBudgetTokens(),
        model.getPrefillBudgetTokens());
  }

  /** Runs the trace to its end, and then until the remaining requests have had time to complete. */
  SimResult run() {
    for (TraceRequest request : trace.requests()) {
      int index = jobs.size();
      SimJob job = new SimJob(request, index, entryIndexOf(index));
      jobs.add(job);
      clock.scheduleAt(request.getAtMs() * US_PER_MS, () -> onArrival(job));
    }
    trace
        .events()
        .forEach(event -> clock.scheduleAt(event.getAtMs() * US_PER_MS, () -> applyEvent(event)));
    clock.scheduleEvery(
        settings.getEngine().getReportEveryMs() * US_PER_MS, this::deliverLoadReports);
    clock.scheduleEvery(settings.getDigestEveryMs() * US_PER_MS, this::exchangeDigests);
    clock.scheduleAt(0, this::sampleTimeline);
    clock.scheduleEvery(SimMetrics.TIMELINE_INTERVAL_MS * US_PER_MS, this::sampleTimeline);
    long endMs = trace.endMs();
    clock.runUntil(endMs * US_PER_MS);
    long costMicros = SimMetrics.costMicros(settings, fleet.allEngines(), 0, endMs * US_PER_MS);
    clock.runUntil((endMs + DRAIN_MS) * US_PER_MS);
    return new SimResult(trace, settings, jobs, metrics, costMicros);
  }

  @Override
  public void onFirstToken(SimJob job) {
    if (job.firstTokenUs < 0) {
      job.firstTokenUs = clock.nowUs();
      metrics.recordFirstToken(clock.nowUs() - job.request.getAtMs() * US_PER_MS);
    }
    dispatchers.get(job.entryIndex).onFirstToken(job);
  }

  @Override
  public void onToken(SimJob job, long gapUs) {
    metrics.recordTokenGap(gapUs);
  }

  @Override
  public void onFinished(SimJob job) {
    long receivedUs = clock.nowUs() + settings.getDomainHopUs();
    boolean good = receivedUs <= job.deadlineUs();
    crashesByFingerprint.remove(job.fingerprint());
    dispatchers
        .get(job.entryIndex)
        .onFinished(job, good ? SimJob.Outcome.GOOD : SimJob.Outcome.LATE);
  }

  @Override
  public void onCrashed(SimEngine engine) {
    metrics.engineCrashes++;
    terminateEngine(engine, true);
    fleet.restart(engine);
  }

  @Override
  public void onTransferFailed(SimJob job) {
    dispatchers.get(job.entryIndex).resume(job);
  }

  @Override
  public void onCacheEvent(PrefixIndex.CacheEvent event) {
    forEachEntryAfter(
        settings.getEngine().getCacheEventLagMs(),
        dispatcher -> dispatcher.entry().registry.applyCacheEvent(event));
  }

  /** Runs an action for each entry after a network delay. */
  private void forEachEntryAfter(long delayMs, Consumer<SimDispatcher> action) {
    clock.scheduleAfter(delayMs * US_PER_MS, () -> dispatchers.forEach(action));
  }

  /**
   * Returns the entry to which a caller first connects; a multiplicative hash spreads the requests
   * over the entries.
   */
  private int entryIndexOf(int jobIndex) {
    return (int)
        Long.remainderUnsigned((jobIndex * 0x9e3779b97f4a7c15L) >>> 20, dispatchers.size());
  }

  /** Submits a request to its entry, or to the next one that has not been killed. */
  private void onArrival(SimJob job) {
    int entryIndex = job.entryIndex;
    int skipped = 0;
    while (dispatchers.get(entryIndex).entry().killed() && skipped < dispatchers.size()) {
      entryIndex = (entryIndex + 1) % dispatchers.size();
      skipped++;
    }
    SimJob current = job;
    if (entryIndex != job.entryIndex) {
      current = new SimJob(job.request, job.index, entryIndex);
      jobs.set(job.index, current);
    }
    SimJob arrived = current;
    arrived.crashCount =
        fairQueueing ? crashesByFingerprint.getOrDefault(arrived.fingerprint(), 0) : 0;
    if (arrived.crashCount >= SimJob.MAX_CRASHES) {
      metrics.recordRefusal(arrived);
      arrived.outcome = Optional.of(SimJob.Outcome.REFUSED);
      return;
    }
    dispatchers.get(entryIndex).submit(arrived);
    clock.scheduleAt(arrived.deadlineUs() + 1, () -> onDeadline(arrived));
  }

  /**
   * Completes a request at its deadline, when the caller disconnects and the entry cancels it. A
   * request that was never sent to an engine counts as refused.
   */
  private void onDeadline(SimJob job) {
    if (job.hasOutcome()) {
      return;
    }
    if (job.dispatches == 0 && job.engine.isEmpty()) {
      metrics.recordRefusal(job);
      dispatchers.get(job.entryIndex).complete(job, SimJob.Outcome.REFUSED);
      return;
    }
    dispatchers.get(job.entryIndex).complete(job, SimJob.Outcome.LATE);
  }

  private void applyEvent(TraceEvent event) {
    switch (event.getEvent()) {
      case RECLAIM_DOMAIN -> reclaimDomain(event.getTarget());
      case ENGINE_CRASH -> fleet.find(event.getTarget()).ifPresent(this::onCrashed);
      case ENGINE_WITHDRAWN -> fleet.find(event.getTarget()).ifPresent(this::withdrawEngine);
      case LOG_OUTAGE -> fleetController.setLogAvailable(false);
      case LOG_BACK -> fleetController.setLogAvailable(true);
      case ENTRY_KILLED -> killEntry(event.getTarget());
    }
  }

  /** Terminates the reclaimable engines of a failure domain after the notice time. */
  private void reclaimDomain(String domain) {
    for (SimEngine engine : fleet.liveEngines()) {
      if (engine.profile().reclaimable() && engine.profile().failureDomain().equals(domain)) {
        startLeaving(engine);
        clock.scheduleAfter(
            settings.getEngine().getReclaimNoticeMs() * US_PER_MS,
            () -> {
              if (!engine.isTerminated()) {
                terminateEngine(engine, false);
              }
            });
      }
    }
  }

  private void withdrawEngine(SimEngine engine) {
    startLeaving(engine);
    engine.drain(FleetEngine.State.LEAVING, () -> terminateEngine(engine, false));
  }

  /** Stops new work on an engine; entries exclude it once the report has reached them. */
  private void startLeaving(SimEngine engine) {
    engine.drain(FleetEngine.State.LEAVING, () -> {});
    String name = engine.profile().name();
    forEachEntryAfter(
        settings.getEngine().getReportLagMs(),
        dispatcher -> dispatcher.entry().registry.setExcluded(name, true));
  }

  /**
   * Terminates an engine, and resumes its requests on others. A request that has been on {@link
   * SimJob#MAX_CRASHES} engines when they crashed fails instead.
   */
  private void terminateEngine(SimEngine engine, boolean crashed) {
    List<SimJob> interrupted = engine.terminate();
    dispatchers.forEach(dispatcher -> dispatcher.entry().registry.remove(engine.profile().name()));
    for (SimJob job : interrupted) {
      if (crashed) {
        crashesByFingerprint.merge(job.fingerprint(), 1, Integer::sum);
        job.crashCount++;
      }
      job.interruptedByReclaim |= !crashed;
      SimDispatcher dispatcher = dispatchers.get(job.entryIndex);
      if (job.crashCount >= SimJob.MAX_CRASHES) {
        dispatcher.complete(job, SimJob.Outcome.FAILED);
      } else {
        dispatcher.resume(job);
      }
    }
  }

  /** Kills the entry that a name hashes to, and fails its requests. */
  private void killEntry(String target) {
    SimDispatcher dispatcher =
        dispatchers.get(Math.floorMod(target.hashCode(), dispatchers.size()));
    dispatcher.entry().kill();
    jobs.stream()
        .filter(job -> job.entryIndex == dispatcher.entry().index)
        .filter(job -> job.request.getAtMs() <= clock.nowMs() && !job.hasOutcome())
        .forEach(job -> dispatcher.complete(job, SimJob.Outcome.FAILED));
  }

  private void onServing(SimEngine engine) {
    for (SimDispatcher dispatcher : dispatchers) {
      SimEntry entry = dispatcher.entry();
      boolean sameDomain = entry.failureDomain.equals(engine.profile().failureDomain());
      double hopMs = sameDomain ? 0 : settings.getDomainHopUs() / 1_000.0;
      entry.addEngine(engine.profile(), engine, settings.getEngine().getKvTokens(), hopMs);
    }
  }

  /** Collects the load reports of all started engines, and delivers them after their delay. */
  private void deliverLoadReports() {
    List<EngineReport> reports =
        fleet.liveEngines().stream()
            .filter(e -> e.state() != FleetEngine.State.STARTING)
            .map(SimEngine::loadReport)
            .toList();
    forEachEntryAfter(
        settings.getEngine().getReportLagMs(),
        dispatcher -> {
          reports.forEach(dispatcher.entry().registry::applyReport);
          dispatcher.applyDecisions();
        });
  }

  /** Exchanges the service by team between the entries, and runs the fleet controller. */
  private void exchangeDigests() {
    List<Map<String, Double>> servedCosts =
        dispatchers.stream().map(SimDispatcher::getAndResetServedCosts).toList();
    List<String> teams = trace.teams();
    for (int i = 0; i < dispatchers.size(); i++) {
      Map<String, Double> remoteCosts = new HashMap<>();
      for (int j = 0; j < dispatchers.size(); j++) {
        if (i != j) {
          servedCosts.get(j).forEach((team, cost) -> remoteCosts.merge(team, cost, Double::sum));
        }
      }
      dispatchers.get(i).recordRemoteService(remoteCosts, teams);
    }
    fleetController.decide();
  }

  /** Samples the roles and the cost of the interval that ends now. */
  private void sampleTimeline() {
    long nowUs = clock.nowUs();
    long fromUs = Math.max(0, nowUs - SimMetrics.TIMELINE_INTERVAL_MS * US_PER_MS);
    if (nowUs > 0) {
      metrics.intervalCostMicros.add(
          SimMetrics.costMicros(settings, fleet.allEngines(), fromUs, nowUs));
    }
    metrics.sampleRoles(fleet.allEngines());
  }
}
