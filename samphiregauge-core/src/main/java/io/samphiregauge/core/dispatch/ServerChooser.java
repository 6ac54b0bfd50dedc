package io.samphiregauge.core.dispatch;

import io.samphiregauge.core.RendezvousHash;
import io.samphiregauge.core.backend.BackendServer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * Chooses the server of a request: among the servers that a {@link Sampling} selects, the one with
 * the lowest expected cost, in milliseconds. An avoided server is chosen only if all of them are
 * avoided. Immutable.
 */
public final class ServerChooser {
  /** Cost of a failed request; weighted by the failure rate of the server. */
  private static final double FAILURE_COST_MS = 400;

  /** Additional decode cost per request that is already running on the engine. */
  private static final double RUNNING_REQUEST_MS = 2;

  /** Cost of the additional call that decodes on a second engine, which may also fail. */
  private static final double SECOND_CALL_MS = 60;

  /**
   * Additional cost of prefilling a shared token on an engine other than the preferred one, on top
   * of the prefill time.
   */
  private static final double AFFINITY_MISS_MS_PER_TOKEN = 0.02;

  /** Fixed cost of a fetch from another engine's cache: startup latency and transfer overhead. */
  private static final double FETCH_START_MS = 15;

  /** Time that the caller of a stream loses with it: it has to start again. */
  private static final double LOST_RUN_MS = 5_000;

  /** Assumed part of the runs on reclaimable engines that are lost with their failure domain. */
  private static final double RECLAIM_PROBABILITY = 0.02;

  /** Assumed part of the runs on other engines that are lost with their failure domain. */
  private static final double LOSS_PROBABILITY = 0.002;

  private final String domain;
  private final Sampling sampling;
  private final Crossing crossing;

  /**
   * Creates a chooser for one entry whose requests may use all failure domains.
   *
   * @param domain failure domain of the entry
   * @param sampling selects the servers that are compared
   */
  public ServerChooser(String domain, Sampling sampling) {
    this(domain, sampling, Crossing.atConstantCost());
  }

  /**
   * Creates a chooser for one request.
   *
   * @param domain failure domain of the entry
   * @param sampling selects the servers that are compared
   * @param crossing which other failure domains the request may use, and at what cost
   */
  public ServerChooser(String domain, Sampling sampling, Crossing crossing) {
    this.domain = domain;
    this.sampling = sampling;
    this.crossing = crossing;
  }

  /**
   * Returns a chooser that compares the servers of all failure domains at the same costs. A request
   * that no permitted server can answer in time is better served elsewhere than refused.
   */
  public ServerChooser acrossDomains() {
    return new ServerChooser(domain, sampling, crossing.toAnyDomain());
  }

  /**
   * How the prompt of a request is prefilled.
   *
   * @param server engine that prefills the prompt
   * @param uncachedTokens tokens that the engine has to compute
   * @param fetchedTokens tokens that the engine fetches from the cache of another engine
   * @param cacheSource engine from which the tokens are fetched, if any
   * @param firstTokenMs expected time until the first token, in milliseconds
   * @param interferenceMs cost of the delay that the prefill causes to running requests
   */
  public record PromptPlan(
      ServerLoad server,
      int uncachedTokens,
      int fetchedTokens,
      Optional<ServerLoad> cacheSource,
      double firstTokenMs,
      double interferenceMs) {
    /** Returns whether the engine only prefills, so that another engine has to decode. */
    public boolean isPrefillOnly() {
      return server.server().prefillOnly();
    }
  }

  /**
   * Chooses the server for a request without a prompt, by expected latency.
   *
   * @param servers the candidates
   * @param nowMs monotonic time in milliseconds
   * @return the server, or empty without candidates
   */
  public Optional<ServerLoad> chooseServer(List<ServerLoad> servers, long nowMs) {
    return notifyChosen(
        lowestCost(
            sampling.candidates(crossing.permitted().apply(servers), nowMs),
            nowMs,
            load -> plainCost(load) + baseCost(load)),
        load -> load);
  }

  /** Where leaving a domain is priced, only waits count: requests in free slots cost nothing. */
  private double plainCost(ServerLoad load) {
    return crossing.priced()
        ? load.expectedMs() + load.totalInFlight() * RUNNING_REQUEST_MS
        : (load.totalInFlight() + 1) * load.latencyMs();
  }

  /**
   * Chooses the engine that prefills a prompt, and whether that engine also generates the response.
   *
   * @param prompt the prompt
   * @param servers the candidates
   * @param rates rates of the service's engines
   * @param nowMs monotonic time in milliseconds
   * @return the plan, or empty if no candidate can generate
   */
  public Optional<PromptPlan> planPrefill(
      Prompt prompt, List<ServerLoad> servers, EngineRates rates, long nowMs) {
    List<ServerLoad> generating = thatLeadToGeneration(servers);
    List<ServerLoad> permitted = crossing.permitted().apply(generating);
    CacheDirectory directory = CacheDirectory.of(prompt, servers, nowMs);
    Optional<ServerLoad> preferred =
        directory.isEmpty() ? preferredEngine(prompt, permitted) : Optional.empty();
    List<ServerLoad> candidates = new ArrayList<>(sampling.candidates(permitted, nowMs));
    preferred.filter(load -> !candidates.contains(load)).ifPresent(candidates::add);
    List<PromptPlan> plans =
        candidates.stream().map(load -> plan(prompt, load, directory, rates)).toList();
    return notifyChosen(
        lowestCost(plans, PromptPlan::server, nowMs, plan -> prefillCost(prompt, plan, preferred)),
        PromptPlan::server);
  }

  /** Removes the engines that only prefill and for which no engine can decode. */
  private static List<ServerLoad> thatLeadToGeneration(List<ServerLoad> servers) {
    Set<String> decodingVersions =
        servers.stream()
            .map(ServerLoad::server)
            .filter(server -> !server.prefillOnly())
            .map(BackendServer::softwareVersion)
            .collect(Collectors.toSet());
    return servers.stream()
        .filter(load -> decodingVersions.contains(load.server().softwareVersion()))
        .toList();
  }

  private <T> Optional<T> notifyChosen(Optional<T> chosen, Function<T, ServerLoad> server) {
    chosen.map(server).ifPresent(crossing.onChosen());
    return chosen;
  }

  /**
   * Returns the engine that every entry prefers for this prompt, so that its shared parts end up in
   * one cache.
   */
  private static Optional<ServerLoad> preferredEngine(Prompt prompt, List<ServerLoad> servers) {
    List<ServerLoad> prefilling =
        servers.stream().filter(load -> load.server().prefillOnly()).toList();
    return RendezvousHash.select(
        prompt.affinityKey(),
        prefilling.isEmpty() ? servers : prefilling,
        load -> load.server().id());
  }

  private PromptPlan plan(
      Prompt prompt, ServerLoad load, CacheDirectory directory, EngineRates rates) {
    int localTokens = load.prefixCache().cachedTokens(prompt);
    Optional<CacheDirectory.Holder> source =
        directory
            .sourceFor(load, localTokens)
            .filter(holder -> isFetchWorthwhile(holder, load, localTokens, rates));
    int cachedTokens = source.map(CacheDirectory.Holder::tokens).orElse(localTokens);
    int uncachedTokens = prompt.tokens() - cachedTokens;
    int fetchedTokens = cachedTokens - localTokens;
    double fetchMs =
        source.map(holder -> fetchMs(holder.load(), load, fetchedTokens, rates)).orElse(0.0);
    double secondStageMs =
        load.server().prefillOnly() ? rates.handoverMs() + SECOND_CALL_MS : rates.slotWaitMs(load);
    return new PromptPlan(
        load,
        uncachedTokens,
        fetchedTokens,
        source.map(CacheDirectory.Holder::load),
        rates.prefillMs(load, uncachedTokens) + fetchMs + secondStageMs,
        rates.interferenceMs(load, uncachedTokens));
  }

  private double prefillCost(Prompt prompt, PromptPlan plan, Optional<ServerLoad> preferred) {
    ServerLoad load = plan.server();
    double affinityMissMs =
        preferred.filter(engine -> !engine.equals(load)).isPresent()
            ? prompt.sharedTokens() * AFFINITY_MISS_MS_PER_TOKEN
            : 0;
    return plan.firstTokenMs() + plan.interferenceMs() + affinityMissMs + baseCost(load);
  }

  private static boolean areInOneDomain(ServerLoad first, ServerLoad second) {
    return first.server().domain().equals(second.server().domain());
  }

  private double fetchMs(ServerLoad source, ServerLoad target, int tokens, EngineRates rates) {
    if (areInOneDomain(source, target)) {
      return FETCH_START_MS + rates.fetchMs(tokens);
    }
    double costMs = crossing.priced() ? crossing.kvMs().applyAsDouble(tokens) : 0;
    return FETCH_START_MS + rates.fetchMs(tokens) * 2 + costMs;
  }

  /** Returns whether a fetch from another domain costs less than computing the tokens again. */
  private boolean isFetchWorthwhile(
      CacheDirectory.Holder holder, ServerLoad target, int localTokens, EngineRates rates) {
    int tokens = holder.tokens() - localTokens;
    return !crossing.priced()
        || areInOneDomain(holder.load(), target)
        || fetchMs(holder.load(), target, tokens, rates) < rates.computeMs(target, tokens);
  }

  /**
   * Chooses the engine that generates the response to a prompt that another engine has prefilled.
   *
   * @param prompt the prompt
   * @param servers the candidates
   * @param source engine that holds the KV cache
   * @param rates rates of the service's engines
   * @param nowMs monotonic time in milliseconds
   * @return the engine, or empty if no candidate can generate
   */
  public Optional<ServerLoad> chooseDecodeEngine(
      Prompt prompt,
      List<ServerLoad> servers,
      BackendServer source,
      EngineRates rates,
      long nowMs) {
    String sourceDomain = source.domain();
    List<ServerLoad> engines =
        servers.stream()
            .filter(load -> !load.server().prefillOnly())
            .filter(load -> load.server().isCompatibleWith(source))
            .toList();
    List<ServerLoad> permitted = crossing.permitted().apply(engines);
    List<ServerLoad> usable =
        engines.stream()
            .filter(load -> permitted.contains(load) || load.server().domain().equals(sourceDomain))
            .toList();
    return notifyChosen(
        lowestCost(
            sampling.candidates(usable, nowMs),
            nowMs,
            load ->
                load.totalInFlight() * RUNNING_REQUEST_MS * load.slowness()
                    + rates.handoverMs() * load.slowness()
                    + rates.queueMs(load)
                    + rates.slotWaitMs(load)
                    + handoverCost(load, sourceDomain, prompt.tokens())
                    + failureCost(load)),
        load -> load);
  }

  private double handoverCost(ServerLoad load, String sourceDomain, int tokens) {
    String target = load.server().domain();
    double kvMs = target.equals(sourceDomain) ? 0 : crossing.kvMs().applyAsDouble(tokens);
    double requestMs =
        target.equals(domain) || !crossing.priced()
            ? 0
            : crossing.requestMs().applyAsDouble(target);
    return kvMs + requestMs;
  }

  /**
   * Chooses the engine that keeps a copy of the KV cache of a run, so that the run can continue if
   * its engine is lost. A failure domain is reclaimed as a whole, so the copy is kept in another
   * one where possible, unless its bytes cost more than what it is expected to save. The copies of
   * many runs are spread evenly.
   *
   * @param prompt the prompt of the run
   * @param servers the engines of the service
   * @param runner the engine that runs the request
   * @param runId identifier of the run
   * @param nowMs monotonic time in milliseconds
   * @return the engine, or empty if none can generate or is worth its bytes
   */
  public Optional<ServerLoad> chooseBackup(
      Prompt prompt, List<ServerLoad> servers, ServerLoad runner, String runId, long nowMs) {
    List<ServerLoad> engines =
        servers.stream()
            .filter(load -> !load.equals(runner))
            .filter(load -> load.server().isCompatibleWith(runner.server()))
            .filter(load -> !load.server().prefillOnly() && !load.isAvoided(nowMs))
            .toList();
    Map<Boolean, List<ServerLoad>> byInside =
        engines.stream().collect(Collectors.partitioningBy(load -> areInOneDomain(load, runner)));
    double savedMs =
        LOST_RUN_MS * (runner.server().reclaimable() ? RECLAIM_PROBABILITY : LOSS_PROBABILITY);
    boolean outsidePays =
        !crossing.priced() || crossing.kvMs().applyAsDouble(prompt.tokens()) <= savedMs;
    List<ServerLoad> outside = byInside.get(false);
    return RendezvousHash.select(
        runId,
        outsidePays && !outside.isEmpty() ? outside : byInside.get(true),
        load -> load.server().id());
  }

  private static double failureCost(ServerLoad load) {
    return load.failureRate() * FAILURE_COST_MS;
  }

  private double baseCost(ServerLoad load) {
    String target = load.server().domain();
    return failureCost(load)
        + (target.equals(domain) ? 0 : crossing.requestMs().applyAsDouble(target));
  }

  private static Optional<ServerLoad> lowestCost(
      List<ServerLoad> servers, long nowMs, ToDoubleFunction<ServerLoad> cost) {
    return lowestCost(servers, load -> load, nowMs, cost);
  }

  private static <T> Optional<T> lowestCost(
      List<T> choices, Function<T, ServerLoad> server, long nowMs, ToDoubleFunction<T> cost) {
    Optional<T> best = Optional.empty();
    double lowest = Double.MAX_VALUE;
    boolean bestAvoided = true;
    for (T choice : choices) {
      boolean avoided = server.apply(choice).isAvoided(nowMs);
      double ms = cost.applyAsDouble(choice);
      if (best.isEmpty() || (bestAvoided && !avoided) || (bestAvoided == avoided && ms < lowest)) {
        best = Optional.of(choice);
        lowest = ms;
        bestAvoided = avoided;
      }
    }
    return best;
  }
}
