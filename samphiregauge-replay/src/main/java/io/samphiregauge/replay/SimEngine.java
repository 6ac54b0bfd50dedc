package io.samphiregauge.replay;

import io.samphiregauge.core.engine.EngineProfile;
import io.samphiregauge.core.engine.EngineReport;
import io.samphiregauge.core.engine.PrefixIndex;
import io.samphiregauge.core.fleet.FleetEngine;
import io.samphiregauge.schema.order.EngineRole;
import io.samphiregauge.schema.replay.EngineModel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * An engine that batches continuously: each step computes some prompt tokens and one token of each
 * decoding sequence.
 */
final class SimEngine {
  /** What an engine tells the rest of the simulation. */
  interface Listener {
    void firstToken(SimJob job);

    void token(SimJob job, long gapUs);

    void finished(SimJob job);

    void crashed(SimEngine engine);

    void lost(SimJob job);

    void cacheEvent(PrefixIndex.CacheEvent event);
  }

  /** A crashing request ends its engine when it has decoded so many tokens. */
  private static final int TOKENS_BEFORE_CRASH = 4;

  private final VirtualTime time;
  private final EngineModel model;
  private final EngineProfile profile;
  private final Listener listener;
  private final Deque<SimJob> pending = new ArrayDeque<>();
  private final Deque<SimJob> imported = new ArrayDeque<>();
  private final List<SimJob> decoding = new ArrayList<>();

  /** Split requests whose KV cache will come from another engine. */
  private final Set<SimJob> expected = new LinkedHashSet<>();

  private final Map<SimJob, Integer> kv = new LinkedHashMap<>();
  private final Map<String, Integer> prefixes = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<SimJob, Integer> chunk = new LinkedHashMap<>();
  private final long orderedUs;
  private long endedUs = -1;
  private EngineRole role;
  private EngineRole planned;
  private FleetEngine.State state;
  private long kvUsed;
  private long prefixUsed;
  private long cacheEvents;
  private long epoch;
  private boolean stepping;
  private Runnable whenEmpty = () -> {};

  SimEngine(
      VirtualTime time,
      EngineModel model,
      EngineProfile profile,
      EngineRole role,
      FleetEngine.State state,
      Listener listener) {
    this.time = time;
    this.model = model;
    this.profile = profile;
    this.role = role;
    this.planned = role;
    this.state = state;
    this.listener = listener;
    this.orderedUs = time.nowUs();
  }

  EngineProfile profile() {
    return profile;
  }

  EngineRole role() {
    return role;
  }

  /** Returns the role that the engine has or is changing to. */
  EngineRole plannedRole() {
    return planned;
  }

  FleetEngine.State state() {
    return state;
  }

  boolean gone() {
    return endedUs >= 0;
  }

  long orderedUs() {
    return orderedUs;
  }

  long endedUs() {
    return endedUs;
  }

  void serve() {
    state = FleetEngine.State.SERVING;
  }

  /** Takes a request whose prompt is to be computed here; refuses it while it takes no new work. */
  boolean accept(SimJob job) {
    if (gone() || state != FleetEngine.State.SERVING) {
      return false;
    }
    job.prefillStarted = false;
    job.prefillLeft = job.request.getPromptTokens() + job.emitted;
    job.decoder.ifPresent(target -> target.expected.add(job));
    pending.add(job);
    step();
    return true;
  }

  private void importKv(SimJob job) {
    expected.remove(job);
    imported.add(job);
    step();
  }

  /** Gives up the work for a request that ended for another reason. */
  void cancel(SimJob job) {
    release(job);
    pending.remove(job);
    imported.remove(job);
    decoding.remove(job);
    expected.remove(job);
    checkEmpty();
  }

  /** Stops new work, and runs the action once the engine has none left. */
  void drain(FleetEngine.State next, Runnable then) {
    state = next;
    whenEmpty = then;
    checkEmpty();
  }

  /** Becomes another role after the time that this takes. */
  void changeRole(EngineRole next, Runnable done) {
    planned = next;
    drain(
        FleetEngine.State.CHANGING,
        () ->
            time.after(
                model.getRoleChangeMs() * VirtualTime.US_PER_MS,
                () -> {
                  if (!gone() && state == FleetEngine.State.CHANGING) {
                    role = next;
                    state = FleetEngine.State.SERVING;
                    done.run();
                  }
                }));
  }

  /** Ends at once and returns the requests that were on it. */
  List<SimJob> end() {
    List<SimJob> lost = new ArrayList<>(pending);
    lost.addAll(imported);
    lost.addAll(decoding);
    state = FleetEngine.State.LEAVING;
    endedUs = time.nowUs();
    epoch++;
    pending.clear();
    imported.clear();
    decoding.clear();
    kv.clear();
    prefixes.clear();
    return lost;
  }

  EngineReport report() {
    double queued = 0;
    for (SimJob job : pending) {
      queued += job.prefillLeft;
    }
    return new EngineReport(
        profile.name(),
        time.nowMs(),
        role,
        state == FleetEngine.State.SERVING,
        queued,
        decoding.size() + imported.size() + expected.size(),
        model.getKvTokens() - kvUsed);
  }

  private void step() {
    if (stepping || gone()) {
      return;
    }
    startDecoding();
    int tokens = takeChunk();
    if (tokens == 0 && decoding.isEmpty()) {
      return;
    }
    double ms =
        model.getStepBaseMs()
            + model.getStepPerSequenceMs() * decoding.size()
            + tokens * profile.prefillMsPerToken();
    charge(tokens, ms);
    stepping = true;
    long started = epoch;
    time.after(
        Math.round(ms * VirtualTime.US_PER_MS),
        () -> {
          stepping = false;
          if (started == epoch) {
            endStep();
          }
        });
  }

  /** Books the engine time of a step on the requests in it. */
  private void charge(int tokens, double ms) {
    double parts = decoding.size() + tokens * profile.prefillMsPerToken();
    Consumer<SimJob> one = job -> chargeJob(job, ms / parts);
    decoding.forEach(one);
    chunk.forEach((job, part) -> chargeJob(job, ms * part * profile.prefillMsPerToken() / parts));
  }

  private void chargeJob(SimJob job, double ms) {
    job.engineMs += ms;
    if (profile.reclaimable()) {
      job.engineMsReclaimable += ms;
    }
  }

  private void startDecoding() {
    while (!imported.isEmpty() && decoding.size() < model.getSlots()) {
      SimJob job = imported.element();
      if (!reserve(job)) {
        return;
      }
      decoding.add(imported.remove());
    }
  }

  private int takeChunk() {
    int budget =
        role == EngineRole.PREFILL ? model.getPrefillBudgetTokens() : model.getMixedBudgetTokens();
    int left = budget;
    chunk.clear();
    for (SimJob job : pending) {
      if (left == 0 || !reserve(job)) {
        break;
      }
      useCache(job);
      int part = Math.min(left, job.prefillLeft);
      chunk.put(job, part);
      left -= part;
    }
    return budget - left;
  }

  private boolean reserve(SimJob job) {
    if (kv.containsKey(job)) {
      return true;
    }
    if (kvUsed + job.kvTokens() > model.getKvTokens()) {
      return false;
    }
    kv.put(job, job.kvTokens());
    kvUsed += job.kvTokens();
    return true;
  }

  private void release(SimJob job) {
    Integer tokens = kv.remove(job);
    kvUsed -= tokens == null ? 0 : tokens;
  }

  private void useCache(SimJob job) {
    if (job.prefillStarted) {
      return;
    }
    job.prefillStarted = true;
    if (prefixes.get(job.request.getPrefix()) != null) {
      job.prefillLeft = Math.max(1, job.prefillLeft - job.request.getPrefixTokens());
    }
  }

  private void endStep() {
    Map<SimJob, Integer> done = new LinkedHashMap<>(chunk);
    chunk.clear();
    for (SimJob job : new ArrayList<>(decoding)) {
      if (!job.ended()) {
        emit(job);
      }
      if (gone()) {
        return;
      }
    }
    done.forEach(this::prefilled);
    step();
    checkEmpty();
  }

  private void emit(SimJob job) {
    job.emitted++;
    if (job.crashesEngines() && job.emitted >= TOKENS_BEFORE_CRASH) {
      listener.crashed(this);
      return;
    }
    listener.token(job, job.lastTokenUs < 0 ? 0 : time.nowUs() - job.lastTokenUs);
    job.lastTokenUs = time.nowUs();
    if (job.emitted >= job.request.getOutputTokens()) {
      decoding.remove(job);
      release(job);
      listener.finished(job);
    }
  }

  private void prefilled(SimJob job, int tokens) {
    if (job.ended() || !pending.contains(job)) {
      return;
    }
    job.prefillLeft -= tokens;
    job.computedPrefill += tokens;
    if (job.prefillLeft > 0) {
      return;
    }
    pending.remove(job);
    storePrefix(job.request.getPrefix(), job.request.getPrefixTokens());
    boolean first = job.emitted == 0;
    if (first) {
      job.emitted = 1;
      job.lastTokenUs = time.nowUs();
    }
    listener.firstToken(job);
    if (job.emitted >= job.request.getOutputTokens()) {
      release(job);
      listener.finished(job);
      return;
    }
    job.decoder.ifPresentOrElse(target -> export(job, target), () -> imported.add(job));
  }

  private void export(SimJob job, SimEngine target) {
    double seconds = job.request.getPromptTokens() / model.getKvTransferTokensPerSecond();
    long started = epoch;
    time.after(
        Math.round(seconds * 1_000 * VirtualTime.US_PER_MS),
        () -> {
          if (job.ended()) {
            return;
          }
          if (started != epoch || target.gone()) {
            cancel(job);
            listener.lost(job);
            return;
          }
          release(job);
          checkEmpty();
          job.engine = job.decoder;
          target.importKv(job);
        });
  }

  private void storePrefix(String prefix, int tokens) {
    if (prefixes.containsKey(prefix)) {
      return;
    }
    prefixes.put(prefix, tokens);
    prefixUsed += tokens;
    publish(prefix, true);
    var oldest = prefixes.entrySet().iterator();
    while (prefixUsed > model.getPrefixCacheTokens() && oldest.hasNext()) {
      Map.Entry<String, Integer> evicted = oldest.next();
      prefixUsed -= evicted.getValue();
      oldest.remove();
      publish(evicted.getKey(), false);
    }
  }

  private void publish(String prefix, boolean stored) {
    cacheEvents++;
    if (cacheEvents % model.getCacheEventLostEvery() != 0) {
      listener.cacheEvent(new PrefixIndex.CacheEvent(profile.name(), cacheEvents, prefix, stored));
    }
  }

  private void checkEmpty() {
    if (state == FleetEngine.State.SERVING
        || !kv.isEmpty()
        || !pending.isEmpty()
        || !expected.isEmpty()) {
      return;
    }
    Runnable then = whenEmpty;
    whenEmpty = () -> {};
    then.run();
  }
}
