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

/** Runs one trace under one set of policies in virtual time. */
final class Simulation implements SimEngine.Listener {
  /** After the last arrival, so that the last requests can end. */
  private static final long TAIL_MS = 30_000;

  private static final long MS = VirtualTime.US_PER_MS;

  private final Trace trace;
  private final ReplaySettings settings;
  private final VirtualTime time = new VirtualTime();
  private final Meter meter = new Meter();
  private final List<SimTraffic> entries = new ArrayList<>();
  private final List<SimJob> jobs = new ArrayList<>();
  private final Map<String, Integer> crashesByRequest = new HashMap<>();
  private final boolean queued;
  private final SimFleet fleet;
  private final FleetControl control;

  Simulation(Trace trace, ReplaySettings settings, PolicySet policy, long seed) {
    this.trace = trace;
    this.settings = settings;
    this.queued = policy.queued();
    this.fleet = new SimFleet(time, settings, this, this::joined);
    this.control = new FleetControl(time, settings, policy, fleet, entries, meter);
    EngineProfile reference = reference(settings);
    List<String> domains = settings.getFailureDomains();
    for (int i = 0; i < settings.getEntries(); i++) {
      SimEntry entry =
          new SimEntry(
              i, domains.get(i % domains.size()), settings.getEntries(), policy, time, seed);
      entries.add(new SimTraffic(entry, time, settings, reference, fleet, meter, policy.queued()));
    }
    fleet.startAll(policy.initialRoles().apply(settings));
  }

  static EngineProfile reference(ReplaySettings settings) {
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

  /** Runs to the end. */
  SimResult run() {
    for (TraceRequest request : trace.requests()) {
      int number = jobs.size();
      SimJob job = new SimJob(request, number, entryOf(number));
      jobs.add(job);
      time.at(request.getAtMs() * MS, () -> arrive(job));
    }
    trace.events().forEach(event -> time.at(event.getAtMs() * MS, () -> happen(event)));
    time.every(settings.getEngine().getReportEveryMs() * MS, this::reports);
    time.every(settings.getDigestEveryMs() * MS, this::digests);
    time.at(0, this::sample);
    time.every(Meter.INTERVAL_MS * MS, this::sample);
    long endMs = trace.endMs();
    time.run(endMs * MS);
    long costMicros = Meter.costMicros(settings, fleet.all(), 0, endMs * MS);
    time.run((endMs + TAIL_MS) * MS);
    return new SimResult(trace, settings, jobs, meter, costMicros);
  }

  @Override
  public void firstToken(SimJob job) {
    if (job.firstTokenUs < 0) {
      job.firstTokenUs = time.nowUs();
      meter.firstToken(time.nowUs() - job.request.getAtMs() * MS);
    }
    entries.get(job.entry).firstToken(job);
  }

  @Override
  public void token(SimJob job, long gapUs) {
    meter.gap(gapUs);
  }

  @Override
  public void finished(SimJob job) {
    long seenUs = time.nowUs() + settings.getDomainHopUs();
    boolean good = seenUs <= job.deadlineUs();
    crashesByRequest.remove(job.fingerprint());
    entries.get(job.entry).finished(job, good ? SimJob.Outcome.GOOD : SimJob.Outcome.LATE);
  }

  @Override
  public void crashed(SimEngine engine) {
    meter.engineCrashes++;
    lose(engine, true);
    fleet.restart(engine);
  }

  @Override
  public void lost(SimJob job) {
    entries.get(job.entry).resume(job);
  }

  @Override
  public void cacheEvent(PrefixIndex.CacheEvent event) {
    later(settings.getEngine().getCacheEventLagMs(), e -> e.entry().book.applyCacheEvent(event));
  }

  private void later(long delayMs, Consumer<SimTraffic> action) {
    time.after(delayMs * MS, () -> entries.forEach(action));
  }

  /** Spreads callers over entries; the addresses of dead entries are skipped. */
  private int entryOf(int number) {
    return (int) Long.remainderUnsigned((number * 0x9e3779b97f4a7c15L) >>> 20, entries.size());
  }

  private void arrive(SimJob job) {
    int target = job.entry;
    int tries = 0;
    while (entries.get(target).entry().dead() && tries < entries.size()) {
      target = (target + 1) % entries.size();
      tries++;
    }
    SimJob current = job;
    if (target != job.entry) {
      current = new SimJob(job.request, job.number, target);
      jobs.set(job.number, current);
    }
    SimJob arrived = current;
    arrived.crashes = queued ? crashesByRequest.getOrDefault(arrived.fingerprint(), 0) : 0;
    if (arrived.crashes >= SimJob.MAX_CRASHES) {
      meter.refused(arrived);
      arrived.outcome = Optional.of(SimJob.Outcome.REFUSED);
      return;
    }
    entries.get(target).arrive(arrived);
    time.at(arrived.deadlineUs() + 1, () -> expire(arrived));
  }

  /** The caller gives up at its deadline, and the entry cancels the request. */
  private void expire(SimJob job) {
    if (job.ended()) {
      return;
    }
    if (job.dispatches == 0 && job.engine.isEmpty()) {
      meter.refused(job);
      entries.get(job.entry).end(job, SimJob.Outcome.REFUSED);
      return;
    }
    entries.get(job.entry).end(job, SimJob.Outcome.LATE);
  }

  private void happen(TraceEvent event) {
    switch (event.getEvent()) {
      case RECLAIM_DOMAIN -> reclaim(event.getTarget());
      case ENGINE_CRASH -> fleet.find(event.getTarget()).ifPresent(this::crashed);
      case ENGINE_WITHDRAWN -> fleet.find(event.getTarget()).ifPresent(this::withdraw);
      case LOG_OUTAGE -> control.logUp(false);
      case LOG_BACK -> control.logUp(true);
      case ENTRY_KILLED -> kill(event.getTarget());
    }
  }

  private void reclaim(String domain) {
    for (SimEngine engine : fleet.present()) {
      if (engine.profile().reclaimable() && engine.profile().failureDomain().equals(domain)) {
        leave(engine);
        time.after(
            settings.getEngine().getReclaimNoticeMs() * MS,
            () -> {
              if (!engine.gone()) {
                lose(engine, false);
              }
            });
      }
    }
  }

  private void withdraw(SimEngine engine) {
    leave(engine);
    engine.drain(FleetEngine.State.LEAVING, () -> lose(engine, false));
  }

  private void leave(SimEngine engine) {
    engine.drain(FleetEngine.State.LEAVING, () -> {});
    String name = engine.profile().name();
    later(settings.getEngine().getReportLagMs(), e -> e.entry().book.setExcluded(name, true));
  }

  private void lose(SimEngine engine, boolean crash) {
    List<SimJob> lost = engine.end();
    entries.forEach(e -> e.entry().book.remove(engine.profile().name()));
    for (SimJob job : lost) {
      if (crash) {
        crashesByRequest.merge(job.fingerprint(), 1, Integer::sum);
        job.crashes++;
      }
      job.lostInReclaim |= !crash;
      SimTraffic entry = entries.get(job.entry);
      if (job.crashes >= SimJob.MAX_CRASHES) {
        entry.end(job, SimJob.Outcome.FAILED);
      } else {
        entry.resume(job);
      }
    }
  }

  private void kill(String target) {
    SimTraffic entry = entries.get(Math.floorMod(target.hashCode(), entries.size()));
    entry.entry().kill();
    jobs.stream()
        .filter(job -> job.entry == entry.entry().number)
        .filter(job -> job.request.getAtMs() <= time.nowMs() && !job.ended())
        .forEach(job -> entry.end(job, SimJob.Outcome.FAILED));
  }

  private void joined(SimEngine engine) {
    for (SimTraffic traffic : entries) {
      SimEntry entry = traffic.entry();
      boolean near = entry.failureDomain.equals(engine.profile().failureDomain());
      double hopMs = near ? 0 : settings.getDomainHopUs() / 1_000.0;
      entry.join(engine.profile(), engine, settings.getEngine().getKvTokens(), hopMs);
    }
  }

  private void reports() {
    List<EngineReport> reports =
        fleet.present().stream()
            .filter(e -> e.state() != FleetEngine.State.STARTING)
            .map(SimEngine::report)
            .toList();
    later(
        settings.getEngine().getReportLagMs(),
        e -> {
          reports.forEach(e.entry().book::applyReport);
          e.pump();
        });
  }

  private void digests() {
    List<Map<String, Double>> served = entries.stream().map(SimTraffic::takeServed).toList();
    List<String> teams = trace.teams();
    for (int i = 0; i < entries.size(); i++) {
      Map<String, Double> elsewhere = new HashMap<>();
      for (int j = 0; j < entries.size(); j++) {
        if (i != j) {
          served.get(j).forEach((team, cost) -> elsewhere.merge(team, cost, Double::sum));
        }
      }
      entries.get(i).servedElsewhere(elsewhere, teams);
    }
    control.decide();
  }

  private void sample() {
    long nowUs = time.nowUs();
    long fromUs = Math.max(0, nowUs - Meter.INTERVAL_MS * MS);
    if (nowUs > 0) {
      meter.costMicros.add(Meter.costMicros(settings, fleet.all(), fromUs, nowUs));
    }
    meter.roles(fleet.all());
  }
}
