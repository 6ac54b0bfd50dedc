package io.samphiregauge.replay;

import io.samphiregauge.core.admit.RequestScheduler;
import io.samphiregauge.core.engine.EngineProfile;
import io.samphiregauge.core.route.Placement;
import io.samphiregauge.schema.replay.ReplaySettings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Dispatches the requests of one entry to engines, either through a {@link RequestScheduler} or,
 * without fair queueing, immediately on arrival.
 */
final class SimDispatcher {
  /** Interval at which queued requests are scheduled again, also to check their deadlines. */
  private static final long RETRY_US = 20_000;

  private final SimEntry entry;
  private final VirtualClock clock;
  private final ReplaySettings settings;
  private final EngineProfile referenceProfile;
  private final SimFleet fleet;
  private final SimMetrics metrics;
  private final Optional<RequestScheduler<SimJob>> scheduler;

  /** Cost served by team since the last reset, in milliseconds of engine time. */
  private final Map<String, Double> servedCosts = new HashMap<>();

  private boolean retryScheduled;
  private double demandPrefillTokens;
  private double demandOutputTokens;

  SimDispatcher(
      SimEntry entry,
      VirtualClock clock,
      ReplaySettings settings,
      EngineProfile referenceProfile,
      SimFleet fleet,
      SimMetrics metrics,
      boolean fairQueueing) {
    this.entry = entry;
    this.clock = clock;
    this.settings = settings;
    this.referenceProfile = referenceProfile;
    this.fleet = fleet;
    this.metrics = metrics;
    double enginesPerEntry = (double) settings.getEngines() / settings.getEntries();
    this.scheduler =
        fairQueueing
            ? Optional.of(new RequestScheduler<>(entry::place, enginesPerEntry))
            : Optional.empty();
  }

  /** Returns the entry whose requests this dispatches. */
  SimEntry entry() {
    return entry;
  }

  /** Counts an arrived request as demand, and queues or places it. */
  void submit(SimJob job) {
    job.expectedOutputTokens =
        entry.outputLengths.expectedTokens(job.request.getTeam(), job.request.getRoute());
    Optional<Placement> placement = entry.place(job);
    double uncachedTokens =
        job.request.getPromptTokens() - placement.map(p -> p.engine().cachedTokens()).orElse(0.0);
    demandPrefillTokens += uncachedTokens;
    demandOutputTokens += job.expectedOutputTokens;
    if (scheduler.isEmpty()) {
      placeOrRetry(job);
      return;
    }
    job.estimatedCost = referenceProfile.workMs(uncachedTokens, job.expectedOutputTokens);
    scheduler
        .get()
        .submit(
            new RequestScheduler.PendingRequest<>(
                job.request.getTeam(),
                1,
                job.estimatedCost,
                job.deadlineUs() / VirtualClock.US_PER_MS,
                job),
            clock.nowMs())
        .ifPresentOrElse(refusal -> refuse(job), this::applyDecisions);
  }

  /** Executes the decisions that the scheduler makes at the current time. */
  void applyDecisions() {
    if (scheduler.isEmpty() || entry.killed()) {
      return;
    }
    Optional<RequestScheduler.Decision<SimJob>> decision =
        scheduler.get().nextDecision(clock.nowMs());
    while (decision.isPresent()) {
      if (decision.get() instanceof RequestScheduler.Dispatch<SimJob> dispatch) {
        dispatch(dispatch.pending().content(), dispatch.placement());
      } else if (decision.get() instanceof RequestScheduler.Refuse<SimJob> refuse) {
        refuse(refuse.pending().content());
      }
      decision = scheduler.get().nextDecision(clock.nowMs());
    }
    if (scheduler.get().queuedRequests() > 0 && !retryScheduled) {
      retryScheduled = true;
      clock.scheduleAfter(
          RETRY_US,
          () -> {
            retryScheduled = false;
            applyDecisions();
          });
    }
  }

  /**
   * Places a request without the scheduler: one that was dispatched before, or any without fair
   * queueing. Retries until there is a placement or the request has an outcome.
   */
  void placeOrRetry(SimJob job) {
    if (job.hasOutcome()) {
      return;
    }
    entry
        .place(job)
        .ifPresentOrElse(
            placement -> dispatch(job, placement),
            () -> clock.scheduleAfter(RETRY_US, () -> placeOrRetry(job)));
  }

  /**
   * Resumes a request whose engine terminated, from the tokens already generated. A request that is
   * not idempotent and has reached an engine fails instead.
   */
  void resume(SimJob job) {
    entry.recordFinished(job);
    job.engine = Optional.empty();
    job.decodeEngine = Optional.empty();
    if (!job.request.isIdempotent() && job.dispatches > 0) {
      complete(job, SimJob.Outcome.FAILED);
      return;
    }
    metrics.resumedRequests++;
    placeOrRetry(job);
  }

  /** Records the completed prefill of a request, which may allow further dispatches. */
  void onFirstToken(SimJob job) {
    entry.recordPrefilled(job);
    applyDecisions();
  }

  /** Records the length and the actual cost of a response, and completes its request. */
  void onFinished(SimJob job, SimJob.Outcome outcome) {
    entry.outputLengths.recordResponse(
        job.request.getTeam(), job.request.getRoute(), job.emittedTokens);
    double cost = referenceProfile.workMs((double) job.computedPrefillTokens, job.emittedTokens);
    scheduler.ifPresent(
        requestScheduler ->
            requestScheduler.adjustCost(job.request.getTeam(), cost - job.estimatedCost));
    servedCosts.merge(job.request.getTeam(), cost, Double::sum);
    complete(job, outcome);
  }

  /** Sets the outcome of a request, unless it has one, and cancels the request on its engines. */
  void complete(SimJob job, SimJob.Outcome outcome) {
    if (job.hasOutcome()) {
      return;
    }
    job.outcome = Optional.of(outcome);
    job.engine.ifPresent(engine -> engine.cancel(job));
    job.decodeEngine.ifPresent(engine -> engine.cancel(job));
    entry.recordFinished(job);
    applyDecisions();
  }

  /** Returns the uncached prompt tokens and the expected output tokens since the last call. */
  double[] getAndResetDemand() {
    double[] demand = {demandPrefillTokens, demandOutputTokens};
    demandPrefillTokens = 0;
    demandOutputTokens = 0;
    return demand;
  }

  /** Returns the cost served since the last call by team, in milliseconds of engine time. */
  Map<String, Double> getAndResetServedCosts() {
    Map<String, Double> costs = new HashMap<>(servedCosts);
    servedCosts.clear();
    return costs;
  }

  /** Records the cost that other entries served to each team, for the fair order. */
  void recordRemoteService(Map<String, Double> costs, List<String> teams) {
    scheduler.ifPresent(
        requestScheduler ->
            teams.forEach(
                team -> requestScheduler.recordRemoteService(team, costs.getOrDefault(team, 0.0))));
  }

  private void refuse(SimJob job) {
    metrics.recordRefusal(job);
    job.outcome = Optional.of(SimJob.Outcome.REFUSED);
  }

  /** Sends a request to its engines; it is delivered after the network delay. */
  private void dispatch(SimJob job, Placement placement) {
    entry.recordSent(job, placement);
    job.engine = fleet.find(placement.engine().name());
    job.decodeEngine = placement.decoder().flatMap(d -> fleet.find(d.name()));
    double hopMs = placement.engine().hopMs();
    clock.scheduleAfter(Math.round(hopMs * VirtualClock.US_PER_MS), () -> deliver(job, placement));
  }

  /** Delivers a request to its engine, or places it again if an engine is unavailable. */
  private void deliver(SimJob job, Placement placement) {
    if (job.hasOutcome()) {
      return;
    }
    boolean decoderResolved = placement.decoder().isPresent() == job.decodeEngine.isPresent();
    boolean accepted =
        decoderResolved && job.engine.map(engine -> engine.accept(job)).orElse(false);
    if (accepted) {
      job.dispatches++;
      return;
    }
    entry.recordFinished(job);
    job.engine = Optional.empty();
    job.decodeEngine = Optional.empty();
    clock.scheduleAfter(RETRY_US, () -> placeOrRetry(job));
  }

  ReplaySettings settings() {
    return settings;
  }
}
