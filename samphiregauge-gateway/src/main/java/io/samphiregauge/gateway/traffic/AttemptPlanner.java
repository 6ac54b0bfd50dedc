package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.admit.AdmissionPolicy;
import io.samphiregauge.core.admit.Refusal;
import io.samphiregauge.core.dispatch.EngineRates;
import io.samphiregauge.core.dispatch.Prompt;
import io.samphiregauge.core.dispatch.ServerChooser;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.site.EngineSpec;
import io.samphiregauge.core.site.RequestKind;
import io.samphiregauge.core.stream.StreamBinding;
import io.samphiregauge.gateway.port.KvSource;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Chooses the server of each attempt of one request, from the loads that the event loop knows.
 * Confined to one event loop.
 */
final class AttemptPlanner {
  /** Retry-After while no server can be used; new announcements are read in this time. */
  private static final long NO_SERVER_RETRY_MS = 250;

  private final EventLoopContext context;
  private final RoutedRequest request;
  private final RetainedKvCache kvCache;
  private final StreamBinding binding;
  private final Set<String> triedServers = new HashSet<>();
  private boolean prefillFailed;

  /**
   * Creates the planner of a request.
   *
   * @param context state of the event loop
   * @param request the request
   * @param kvCache KV cache that an engine retains for the request
   * @param binding software version that may go on with the request's stream
   */
  AttemptPlanner(
      EventLoopContext context,
      RoutedRequest request,
      RetainedKvCache kvCache,
      StreamBinding binding) {
    this.context = context;
    this.request = request;
    this.kvCache = kvCache;
    this.binding = binding;
  }

  /** Excludes a server from the later attempts. */
  void exclude(String incarnation) {
    triedServers.add(incarnation);
  }

  /** Excludes engines that only prefill from the later attempts. */
  void excludePrefillEngines() {
    prefillFailed = true;
  }

  /**
   * Starts the next attempt.
   *
   * @param nowMs monotonic time in milliseconds
   * @return the attempt, or the {@link ErrorResponse} to send if no server can respond in time, or
   *     {@link ServersPaused} if all servers that could have asked for a pause
   */
  Result<ForwardAttempt> next(long nowMs) {
    ServerChooser chooser = context.chooser(request);
    Result<ForwardAttempt> planned = next(chooser, nowMs);
    boolean overloaded =
        planned.failure().filter(f -> f.type().equals(Refusal.Overloaded.TYPE)).isPresent();
    return overloaded ? next(chooser.acrossDomains(), nowMs) : planned;
  }

  private Result<ForwardAttempt> next(ServerChooser chooser, long nowMs) {
    List<ServerLoad> candidates = candidates(nowMs);
    if (request.prompt().isEmpty()) {
      return chooser
          .chooseServer(candidates, nowMs)
          .map(load -> admit(load.expectedMs(), nowMs, () -> ForwardAttempt.withoutPrompt(load)))
          .orElseGet(() -> noServer(nowMs));
    }
    Prompt prompt = request.prompt().orElseThrow();
    EngineRates rates = context.engineRates(request.service());
    if (kvCache.source().isPresent()) {
      // The prompt is prefilled already, so the request is not refused any more.
      KvSource source = kvCache.source().orElseThrow();
      Optional<ServerLoad> decoding =
          chooser.chooseDecodeEngine(prompt, candidates, source.server(), rates, nowMs);
      if (decoding.isPresent()) {
        ServerLoad load = decoding.orElseThrow();
        return Result.success(
            ForwardAttempt.fromKvCache(load, source, backupFor(chooser, prompt, load, nowMs)));
      }
      // The engines that could use the KV cache have gone; others prefill the prompt themselves.
      kvCache.free();
      excludePrefillEngines();
    }
    List<ServerLoad> prefillCandidates =
        prefillFailed
            ? candidates.stream().filter(load -> !load.server().prefillOnly()).toList()
            : candidates;
    return chooser
        .planPrefill(prompt, prefillCandidates, rates, nowMs)
        .map(
            plan ->
                admit(
                    plan.firstTokenMs(),
                    nowMs,
                    () ->
                        ForwardAttempt.fromPlan(
                            plan, backupFor(chooser, prompt, plan.server(), nowMs))))
        .orElseGet(() -> noServer(nowMs));
  }

  private List<ServerLoad> candidates(long nowMs) {
    List<ServerLoad> usable =
        context.serverLoads().candidates(request.service(), triedServers, nowMs);
    return binding.version().isEmpty()
        ? usable
        : usable.stream().filter(load -> binding.permits(load.server())).toList();
  }

  /** Returns the monotonic time in milliseconds at which the caller gives up without progress. */
  long givesUpAtMs() {
    return Math.min(
        request.deadlineAtMs(), request.arrivedAt().monotonicMs() + request.route().patienceMs());
  }

  private Result<ForwardAttempt> admit(
      double expectedMs, long nowMs, Supplier<ForwardAttempt> attempt) {
    if (request.isResumption()) {
      // It goes ahead of the requests on which the expected time is based, and a refusal would cost
      // its caller the part of the answer that it already has.
      return Result.success(attempt.get());
    }
    return AdmissionPolicy.decide(expectedMs, givesUpAtMs() - nowMs, context.random().nextDouble())
        .map(AttemptPlanner::toError)
        .orElseGet(() -> Result.success(attempt.get()));
  }

  private static Result<ForwardAttempt> toError(Refusal.Overloaded refusal) {
    return Result.failed(
        ErrorResponse.notRun(refusal.type(), refusal.message(), refusal.retryAfterMs()));
  }

  /**
   * Returns the failure if no server can be used now: until when to wait for the first one, or the
   * error to send.
   */
  private Result<ForwardAttempt> noServer(long nowMs) {
    OptionalLong pauseEndsAtMs =
        context
            .serverLoads()
            .pauseEndsAtMs(
                request.service(),
                server -> !triedServers.contains(server.incarnation()) && binding.permits(server),
                nowMs);
    return Result.failed(
        pauseEndsAtMs.isPresent() ? new ServersPaused(pauseEndsAtMs.getAsLong()) : noServerError());
  }

  private ErrorResponse noServerError() {
    return binding
        .version()
        .map(
            version ->
                ErrorResponse.notRun(
                    "no_server_of_version",
                    "No server of software version " + version + " can go on with the stream.",
                    NO_SERVER_RETRY_MS))
        .orElseGet(
            () ->
                ErrorResponse.notRun(
                    "no_server", "No server of the service can be used.", NO_SERVER_RETRY_MS));
  }

  /**
   * Chooses the engine that keeps a copy of the KV cache of a run. Only streams that must not run
   * again need one: without it they are lost with their engine.
   */
  private Optional<ServerLoad> backupFor(
      ServerChooser chooser, Prompt prompt, ServerLoad runner, long nowMs) {
    boolean copied =
        context.engineSpec(request.service()).filter(EngineSpec::keepsBackups).isPresent();
    if (!copied
        || request.route().kind() != RequestKind.SINGLE_STREAM
        || request.meta().attemptId().isEmpty()) {
      return Optional.empty();
    }
    return chooser.chooseBackup(
        prompt,
        context.serverLoads().candidates(request.service(), Set.of(), nowMs),
        runner,
        request.attemptId(),
        nowMs);
  }

  /**
   * Starts an attempt that continues a lost run from the copy of its KV cache. It continues the
   * same run, so it is allowed for requests that must not run twice.
   *
   * @param lost the attempt whose response was lost
   * @return the attempt, or empty if there is no copy at a usable engine
   */
  Optional<ForwardAttempt> continueFromBackup(ForwardAttempt lost) {
    return lost.backup()
        .filter(load -> binding.permits(load.server()))
        .filter(load -> context.serverLoads().isUsable(load, DualTimestamp.monotonicNowMs()))
        .map(
            load ->
                ForwardAttempt.fromKvCache(
                    load, new KvSource(load.server(), request.attemptId()), Optional.empty()));
  }
}
