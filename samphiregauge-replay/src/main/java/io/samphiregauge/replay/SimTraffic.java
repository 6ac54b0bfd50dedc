package io.samphiregauge.replay;

import io.samphiregauge.core.admit.RequestScheduler;
import io.samphiregauge.core.engine.EngineProfile;
import io.samphiregauge.core.route.Placement;
import io.samphiregauge.schema.replay.ReplaySettings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Takes requests at one entry and sends them to engines, through the gate or at once. */
final class SimTraffic {
  /** Waiting requests are looked at again at this interval, for their deadlines. */
  private static final long RETRY_US = 20_000;

  private final SimEntry entry;
  private final VirtualTime time;
  private final ReplaySettings settings;
  private final EngineProfile reference;
  private final SimFleet fleet;
  private final Meter meter;
  private final Optional<RequestScheduler<SimJob>> gate;
  private final Map<String, Double> servedSinceDigest = new HashMap<>();
  private boolean retryPlanned;
  private double demandPrefill;
  private double demandOutput;

  SimTraffic(
      SimEntry entry,
      VirtualTime time,
      ReplaySettings settings,
      EngineProfile reference,
      SimFleet fleet,
      Meter meter,
      boolean queued) {
    this.entry = entry;
    this.time = time;
    this.settings = settings;
    this.reference = reference;
    this.fleet = fleet;
    this.meter = meter;
    double share = (double) settings.getEngines() / settings.getEntries();
    this.gate =
        queued ? Optional.of(new RequestScheduler<>(entry::place, share)) : Optional.empty();
  }

  SimEntry entry() {
    return entry;
  }

  void arrive(SimJob job) {
    job.expectedOutput =
        entry.lengths.expectedTokens(job.request.getTeam(), job.request.getRoute());
    Optional<Placement> placement = entry.place(job);
    double uncached =
        job.request.getPromptTokens() - placement.map(p -> p.engine().cachedTokens()).orElse(0.0);
    demandPrefill += uncached;
    demandOutput += job.expectedOutput;
    if (gate.isEmpty()) {
      sendNow(job);
      return;
    }
    job.chargedCost = reference.workMs(uncached, job.expectedOutput);
    gate.get()
        .submit(
            new RequestScheduler.PendingRequest<>(
                job.request.getTeam(),
                1,
                job.chargedCost,
                job.deadlineUs() / VirtualTime.US_PER_MS,
                job),
            time.nowMs())
        .ifPresentOrElse(refusal -> refuse(job), this::pump);
  }

  /** Carries out what the gate decides now. */
  void pump() {
    if (gate.isEmpty() || entry.dead()) {
      return;
    }
    Optional<RequestScheduler.Decision<SimJob>> next = gate.get().nextDecision(time.nowMs());
    while (next.isPresent()) {
      if (next.get() instanceof RequestScheduler.Dispatch<SimJob> dispatch) {
        send(dispatch.pending().content(), dispatch.placement());
      } else if (next.get() instanceof RequestScheduler.Refuse<SimJob> refuse) {
        refuse(refuse.pending().content());
      }
      next = gate.get().nextDecision(time.nowMs());
    }
    if (gate.get().queuedRequests() > 0 && !retryPlanned) {
      retryPlanned = true;
      time.after(
          RETRY_US,
          () -> {
            retryPlanned = false;
            pump();
          });
    }
  }

  /** Places a request that has been sent before, or one that no gate holds back. */
  void sendNow(SimJob job) {
    if (job.ended()) {
      return;
    }
    entry
        .place(job)
        .ifPresentOrElse(
            placement -> send(job, placement), () -> time.after(RETRY_US, () -> sendNow(job)));
  }

  /** Goes on with a request that lost its engine, with the tokens that it has. */
  void resume(SimJob job) {
    entry.noteEnded(job);
    job.engine = Optional.empty();
    job.decoder = Optional.empty();
    if (!job.request.isIdempotent() && job.dispatches > 0) {
      end(job, SimJob.Outcome.FAILED);
      return;
    }
    meter.resumed++;
    sendNow(job);
  }

  void firstToken(SimJob job) {
    entry.notePrefilled(job);
    pump();
  }

  void finished(SimJob job, SimJob.Outcome outcome) {
    entry.lengths.recordResponse(job.request.getTeam(), job.request.getRoute(), job.emitted);
    double cost = reference.workMs((double) job.computedPrefill, job.emitted);
    gate.ifPresent(g -> g.adjustCost(job.request.getTeam(), cost - job.chargedCost));
    servedSinceDigest.merge(job.request.getTeam(), cost, Double::sum);
    end(job, outcome);
  }

  void end(SimJob job, SimJob.Outcome outcome) {
    if (job.ended()) {
      return;
    }
    job.outcome = Optional.of(outcome);
    job.engine.ifPresent(engine -> engine.cancel(job));
    job.decoder.ifPresent(engine -> engine.cancel(job));
    entry.noteEnded(job);
    pump();
  }

  /** Returns the prompt and output tokens offered since the last call. */
  double[] takeDemand() {
    double[] taken = {demandPrefill, demandOutput};
    demandPrefill = 0;
    demandOutput = 0;
    return taken;
  }

  Map<String, Double> takeServed() {
    Map<String, Double> taken = new HashMap<>(servedSinceDigest);
    servedSinceDigest.clear();
    return taken;
  }

  void servedElsewhere(Map<String, Double> costs, List<String> teams) {
    gate.ifPresent(
        g -> teams.forEach(team -> g.recordRemoteService(team, costs.getOrDefault(team, 0.0))));
  }

  private void refuse(SimJob job) {
    meter.refused(job);
    job.outcome = Optional.of(SimJob.Outcome.REFUSED);
  }

  private void send(SimJob job, Placement placement) {
    entry.noteSent(job, placement);
    job.engine = fleet.find(placement.engine().name());
    job.decoder = placement.decoder().flatMap(d -> fleet.find(d.name()));
    double hopMs = placement.engine().hopMs();
    time.after(Math.round(hopMs * VirtualTime.US_PER_MS), () -> reach(job, placement));
  }

  private void reach(SimJob job, Placement placement) {
    if (job.ended()) {
      return;
    }
    boolean whole = placement.decoder().isPresent() == job.decoder.isPresent();
    boolean accepted = whole && job.engine.map(engine -> engine.accept(job)).orElse(false);
    if (accepted) {
      job.dispatches++;
      return;
    }
    entry.noteEnded(job);
    job.engine = Optional.empty();
    job.decoder = Optional.empty();
    time.after(RETRY_US, () -> sendNow(job));
  }

  ReplaySettings settings() {
    return settings;
  }
}
