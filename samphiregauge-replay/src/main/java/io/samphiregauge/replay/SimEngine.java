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
 * Simulated engine with continuous batching: each step computes a budget of prompt tokens and one
 * output token of each decoding sequence. Times come from {@link EngineModel}; all methods run on
 * the thread of the {@link VirtualClock}.
 */
final class SimEngine {
  /** Receives the events of an engine. */
  interface Listener {
    /**
     * Called when the prefill of a request has completed, also when it was resumed after a failure.
     */
    void onFirstToken(SimJob job);

    /**
     * Called for each decoded token.
     *
     * @param job request
     * @param gapUs time since the previous token of the request, in microseconds; 0 if there was
     *     none
     */
    void onToken(SimJob job, long gapUs);

    /** Called when the last token of a request has been computed. */
    void onFinished(SimJob job);

    /** Called when a request crashes the engine. */
    void onCrashed(SimEngine engine);

    /** Called when a KV transfer fails because its source or target has terminated. */
    void onTransferFailed(SimJob job);

    /** Called when a prefix was stored in or evicted from the cache, except for lost events. */
    void onCacheEvent(PrefixIndex.CacheEvent event);
  }

  /** Number of output tokens after which a crashing request crashes its engine. */
  private static final int CRASH_AFTER_TOKENS = 4;

  private final VirtualClock clock;
  private final EngineModel model;
  private final EngineProfile profile;
  private final Listener listener;

  /** Requests whose prompts are not yet computed, in order of arrival. */
  private final Deque<SimJob> prefillQueue = new ArrayDeque<>();

  /** Requests with computed prompts that wait for a slot of the decode batch. */
  private final Deque<SimJob> decodeQueue = new ArrayDeque<>();

  private final List<SimJob> decoding = new ArrayList<>();

  /** Split requests whose KV cache another engine will transfer to this one. */
  private final Set<SimJob> incomingTransfers = new LinkedHashSet<>();

  /** KV cache reservations by request, in tokens. */
  private final Map<SimJob, Integer> kvTokensByJob = new LinkedHashMap<>();

  /** Token counts of the cached prefixes, least recently used first. */
  private final Map<String, Integer> cachedPrefixes = new LinkedHashMap<>(16, 0.75f, true);

  /** Prompt tokens that the current step computes, by request. */
  private final Map<SimJob, Integer> prefillChunks = new LinkedHashMap<>();

  private final long orderedUs;
  private long terminatedUs = -1;
  private EngineRole role;
  private EngineRole targetRole;
  private FleetEngine.State state;
  private long reservedKvTokens;
  private long cachedPrefixTokens;
  private long cacheEventSequence;

  /** Incremented on termination, so that callbacks scheduled before it have no effect. */
  private long epoch;

  private boolean stepInProgress;
  private Runnable onDrained = () -> {};

  SimEngine(
      VirtualClock clock,
      EngineModel model,
      EngineProfile profile,
      EngineRole role,
      FleetEngine.State state,
      Listener listener) {
    this.clock = clock;
    this.model = model;
    this.profile = profile;
    this.role = role;
    this.targetRole = role;
    this.state = state;
    this.listener = listener;
    this.orderedUs = clock.nowUs();
  }

  EngineProfile profile() {
    return profile;
  }

  EngineRole role() {
    return role;
  }

  /** Returns the role that the engine has or is changing to. */
  EngineRole targetRole() {
    return targetRole;
  }

  FleetEngine.State state() {
    return state;
  }

  boolean isTerminated() {
    return terminatedUs >= 0;
  }

  long orderedUs() {
    return orderedUs;
  }

  long terminatedUs() {
    return terminatedUs;
  }

  void startServing() {
    state = FleetEngine.State.SERVING;
  }

  /**
   * Queues a request for prefill on this engine.
   *
   * @return whether the request was accepted; false unless the engine is serving
   */
  boolean accept(SimJob job) {
    if (isTerminated() || state != FleetEngine.State.SERVING) {
      return false;
    }
    job.prefillStarted = false;
    job.remainingPrefillTokens = job.request.getPromptTokens() + job.emittedTokens;
    job.decodeEngine.ifPresent(target -> target.incomingTransfers.add(job));
    prefillQueue.add(job);
    startStep();
    return true;
  }

  private void receiveKv(SimJob job) {
    incomingTransfers.remove(job);
    decodeQueue.add(job);
    startStep();
  }

  /** Removes a request that completed elsewhere or was abandoned, and releases its KV cache. */
  void cancel(SimJob job) {
    releaseKv(job);
    prefillQueue.remove(job);
    decodeQueue.remove(job);
    decoding.remove(job);
    incomingTransfers.remove(job);
    runActionIfDrained();
  }

  /**
   * Stops accepting requests, and runs an action once no accepted request remains.
   *
   * @param newState state during and after the drain, not {@code SERVING}
   * @param action action to run once; replaces the action of an earlier drain
   */
  void drain(FleetEngine.State newState, Runnable action) {
    state = newState;
    onDrained = action;
    runActionIfDrained();
  }

  /**
   * Drains the engine, and changes its role after {@code roleChangeMs}. An engine that terminates
   * or starts to leave in the meantime keeps its role.
   *
   * @param newRole role after the change
   * @param onChanged action to run when the engine serves again
   */
  void changeRole(EngineRole newRole, Runnable onChanged) {
    targetRole = newRole;
    drain(
        FleetEngine.State.CHANGING,
        () ->
            clock.scheduleAfter(
                model.getRoleChangeMs() * VirtualClock.US_PER_MS,
                () -> {
                  if (!isTerminated() && state == FleetEngine.State.CHANGING) {
                    role = newRole;
                    state = FleetEngine.State.SERVING;
                    onChanged.run();
                  }
                }));
  }

  /**
   * Terminates the engine immediately.
   *
   * @return requests that were queued or running, without split requests whose KV cache another
   *     engine is to transfer to this one, or this one is transferring
   */
  List<SimJob> terminate() {
    List<SimJob> interrupted = new ArrayList<>(prefillQueue);
    interrupted.addAll(decodeQueue);
    interrupted.addAll(decoding);
    state = FleetEngine.State.LEAVING;
    terminatedUs = clock.nowUs();
    epoch++;
    prefillQueue.clear();
    decodeQueue.clear();
    decoding.clear();
    kvTokensByJob.clear();
    cachedPrefixes.clear();
    return interrupted;
  }

  /** Returns the current load, as an engine reports it to the entries. */
  EngineReport loadReport() {
    double queuedPrefillTokens = 0;
    for (SimJob job : prefillQueue) {
      queuedPrefillTokens += job.remainingPrefillTokens;
    }
    return new EngineReport(
        profile.name(),
        clock.nowMs(),
        role,
        state == FleetEngine.State.SERVING,
        queuedPrefillTokens,
        decoding.size() + decodeQueue.size() + incomingTransfers.size(),
        model.getKvTokens() - reservedKvTokens);
  }

  private void startStep() {
    if (stepInProgress || isTerminated()) {
      return;
    }
    fillDecodeBatch();
    int prefillTokens = assignPrefillChunks();
    if (prefillTokens == 0 && decoding.isEmpty()) {
      return;
    }
    double durationMs =
        model.getStepBaseMs()
            + model.getStepPerSequenceMs() * decoding.size()
            + prefillTokens * profile.prefillMsPerToken();
    attributeEngineTime(prefillTokens, durationMs);
    stepInProgress = true;
    long startEpoch = epoch;
    clock.scheduleAfter(
        Math.round(durationMs * VirtualClock.US_PER_MS),
        () -> {
          stepInProgress = false;
          if (startEpoch == epoch) {
            completeStep();
          }
        });
  }

  /** Divides the duration of a step among its requests, weighted by the time that each adds. */
  private void attributeEngineTime(int prefillTokens, double durationMs) {
    double totalWeight = decoding.size() + prefillTokens * profile.prefillMsPerToken();
    Consumer<SimJob> addDecodeTime = job -> addEngineTime(job, durationMs / totalWeight);
    decoding.forEach(addDecodeTime);
    prefillChunks.forEach(
        (job, tokens) ->
            addEngineTime(job, durationMs * tokens * profile.prefillMsPerToken() / totalWeight));
  }

  private void addEngineTime(SimJob job, double ms) {
    job.engineMs += ms;
    if (profile.reclaimable()) {
      job.reclaimableEngineMs += ms;
    }
  }

  private void fillDecodeBatch() {
    while (!decodeQueue.isEmpty() && decoding.size() < model.getSlots()) {
      SimJob job = decodeQueue.element();
      if (!reserveKv(job)) {
        return;
      }
      decoding.add(decodeQueue.remove());
    }
  }

  /** Assigns the prompt tokens of the next step, and returns their number. */
  private int assignPrefillChunks() {
    int budget =
        role == EngineRole.PREFILL ? model.getPrefillBudgetTokens() : model.getMixedBudgetTokens();
    int remaining = budget;
    prefillChunks.clear();
    for (SimJob job : prefillQueue) {
      if (remaining == 0 || !reserveKv(job)) {
        break;
      }
      startPrefill(job);
      int chunkTokens = Math.min(remaining, job.remainingPrefillTokens);
      prefillChunks.put(job, chunkTokens);
      remaining -= chunkTokens;
    }
    return budget - remaining;
  }

  /** Reserves KV cache for prompt and output; returns false if too little is free. */
  private boolean reserveKv(SimJob job) {
    if (kvTokensByJob.containsKey(job)) {
      return true;
    }
    if (reservedKvTokens + job.kvTokens() > model.getKvTokens()) {
      return false;
    }
    kvTokensByJob.put(job, job.kvTokens());
    reservedKvTokens += job.kvTokens();
    return true;
  }

  private void releaseKv(SimJob job) {
    Integer tokens = kvTokensByJob.remove(job);
    reservedKvTokens -= tokens == null ? 0 : tokens;
  }

  /** Skips the cached prefix of a request whose prefill has not started. */
  private void startPrefill(SimJob job) {
    if (job.prefillStarted) {
      return;
    }
    job.prefillStarted = true;
    if (cachedPrefixes.get(job.request.getPrefix()) != null) {
      job.remainingPrefillTokens =
          Math.max(1, job.remainingPrefillTokens - job.request.getPrefixTokens());
    }
  }

  private void completeStep() {
    Map<SimJob, Integer> completedChunks = new LinkedHashMap<>(prefillChunks);
    prefillChunks.clear();
    for (SimJob job : new ArrayList<>(decoding)) {
      if (!job.hasOutcome()) {
        emitToken(job);
      }
      if (isTerminated()) {
        return;
      }
    }
    completedChunks.forEach(this::completeChunk);
    startStep();
    runActionIfDrained();
  }

  private void emitToken(SimJob job) {
    job.emittedTokens++;
    if (job.crashesEngines() && job.emittedTokens >= CRASH_AFTER_TOKENS) {
      listener.onCrashed(this);
      return;
    }
    listener.onToken(job, job.lastTokenUs < 0 ? 0 : clock.nowUs() - job.lastTokenUs);
    job.lastTokenUs = clock.nowUs();
    if (job.emittedTokens >= job.request.getOutputTokens()) {
      decoding.remove(job);
      releaseKv(job);
      listener.onFinished(job);
    }
  }

  private void completeChunk(SimJob job, int tokens) {
    if (job.hasOutcome() || !prefillQueue.contains(job)) {
      return;
    }
    job.remainingPrefillTokens -= tokens;
    job.computedPrefillTokens += tokens;
    if (job.remainingPrefillTokens > 0) {
      return;
    }
    prefillQueue.remove(job);
    cachePrefix(job.request.getPrefix(), job.request.getPrefixTokens());
    boolean isFirstToken = job.emittedTokens == 0;
    if (isFirstToken) {
      job.emittedTokens = 1;
      job.lastTokenUs = clock.nowUs();
    }
    listener.onFirstToken(job);
    if (job.emittedTokens >= job.request.getOutputTokens()) {
      releaseKv(job);
      listener.onFinished(job);
      return;
    }
    job.decodeEngine.ifPresentOrElse(target -> transferKv(job, target), () -> decodeQueue.add(job));
  }

  /** Transfers the KV cache of a prefilled request to the engine that decodes it. */
  private void transferKv(SimJob job, SimEngine target) {
    double durationS = job.request.getPromptTokens() / model.getKvTransferTokensPerSecond();
    long startEpoch = epoch;
    clock.scheduleAfter(
        Math.round(durationS * 1_000 * VirtualClock.US_PER_MS),
        () -> {
          if (job.hasOutcome()) {
            return;
          }
          if (startEpoch != epoch || target.isTerminated()) {
            cancel(job);
            listener.onTransferFailed(job);
            return;
          }
          releaseKv(job);
          runActionIfDrained();
          job.engine = job.decodeEngine;
          target.receiveKv(job);
        });
  }

  /** Adds a prefix to the cache, and evicts the least recently used ones beyond its capacity. */
  private void cachePrefix(String prefix, int tokens) {
    if (cachedPrefixes.containsKey(prefix)) {
      return;
    }
    cachedPrefixes.put(prefix, tokens);
    cachedPrefixTokens += tokens;
    publishCacheEvent(prefix, true);
    var leastRecentlyUsed = cachedPrefixes.entrySet().iterator();
    while (cachedPrefixTokens > model.getPrefixCacheTokens() && leastRecentlyUsed.hasNext()) {
      Map.Entry<String, Integer> evicted = leastRecentlyUsed.next();
      cachedPrefixTokens -= evicted.getValue();
      leastRecentlyUsed.remove();
      publishCacheEvent(evicted.getKey(), false);
    }
  }

  /** Publishes a cache event, except that one in {@code cacheEventLostEvery} is lost. */
  private void publishCacheEvent(String prefix, boolean stored) {
    cacheEventSequence++;
    if (cacheEventSequence % model.getCacheEventLostEvery() != 0) {
      listener.onCacheEvent(
          new PrefixIndex.CacheEvent(profile.name(), cacheEventSequence, prefix, stored));
    }
  }

  private void runActionIfDrained() {
    if (state == FleetEngine.State.SERVING
        || !kvTokensByJob.isEmpty()
        || !prefillQueue.isEmpty()
        || !incomingTransfers.isEmpty()) {
      return;
    }
    Runnable action = onDrained;
    onDrained = () -> {};
    action.run();
  }
}
