package io.samphiregauge.core.dispatch;

import io.samphiregauge.core.backend.BackendServer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * Chooses the server of a request: among those that are not avoided, the one with the least
 * expected cost in milliseconds. It keeps no state.
 */
public final class ServerChooser {
  /** Cost of leaving the failure domain: the longer way, and the traffic that is paid for. */
  private static final double CROSS_DOMAIN_COST_MS = 6;

  /** Cost of a failure, as a multiple of the share of failed answers. */
  private static final double FAILURE_COST_MS = 400;

  /** Prompt tokens that a prefill engine works off in a millisecond, from measured queues. */
  private static final double PREFILL_TOKENS_PER_MS = 31;

  /** The same for an engine that generates tokens at the same time. */
  private static final double SHARED_PREFILL_TOKENS_PER_MS = 8;

  /** Added to each token's time by each request that an engine generates for. */
  private static final double RUNNING_REQUEST_MS = 2;

  /** Time of a second engine's start on a request, and the price of moving the KV cache. */
  private static final double HANDOVER_MS = 100;

  /**
   * Price of reading a shared token at another engine than its home, beside the time that it takes.
   */
  private static final double AFFINITY_MISS_MS_PER_TOKEN = 0.02;

  /** Time until a fetch from another engine's cache begins, and the price of moving it. */
  private static final double FETCH_START_MS = 15;

  /** Time for a token's KV cache on a link of 370 Gbit/s; other failure domains take twice that. */
  private static final double FETCH_MS_PER_TOKEN = 0.0004;

  private final String domain;
  private final Sampling sampling;

  /**
   * Makes a chooser for one entry.
   *
   * @param domain failure domain of the entry
   * @param sampling chooses the servers that are compared
   */
  public ServerChooser(String domain, Sampling sampling) {
    this.domain = domain;
    this.sampling = sampling;
  }

  /**
   * What is to be done with the prompt of a request.
   *
   * @param server engine that prefills it
   * @param uncachedTokens tokens that it has to read
   * @param fetchedTokens tokens that it fetches from another engine's cache
   * @param cacheSource engine from which it fetches them, if any
   */
  public record PromptPlan(
      ServerLoad server, int uncachedTokens, int fetchedTokens, Optional<ServerLoad> cacheSource) {
    /** Returns whether the engine only prefills, so that another one generates. */
    public boolean prefillFirst() {
      return server.server().prefillOnly();
    }
  }

  /**
   * Chooses a server that runs whole requests.
   *
   * @param servers the candidates
   * @param nowMs monotonic time
   * @return the server, if there is a candidate
   */
  public Optional<ServerLoad> chooseServer(List<ServerLoad> servers, long nowMs) {
    return lowestCost(
        sampling.candidates(servers, nowMs),
        nowMs,
        load -> (load.totalInFlight() + 1) * load.latencyMs() + baseCost(load, domain));
  }

  /**
   * Chooses where a prompt is prefilled, and whether that server also generates the answer.
   *
   * @param prompt the prompt
   * @param servers the candidates
   * @param nowMs monotonic time
   * @return the plan, if there is a candidate that can generate
   */
  public Optional<PromptPlan> planPrefill(Prompt prompt, List<ServerLoad> servers, long nowMs) {
    boolean canGenerate = servers.stream().anyMatch(load -> !load.server().prefillOnly());
    if (!canGenerate) {
      return Optional.empty();
    }
    CacheDirectory directory = CacheDirectory.of(prompt, servers, nowMs);
    Optional<ServerLoad> preferred =
        directory.isEmpty() ? preferredEngine(prompt, servers) : Optional.empty();
    List<ServerLoad> candidates = new ArrayList<>(sampling.candidates(servers, nowMs));
    preferred.filter(load -> !candidates.contains(load)).ifPresent(candidates::add);
    List<PromptPlan> plans =
        candidates.stream().map(load -> plan(prompt, load, directory)).toList();
    return lowestCost(
        plans, PromptPlan::server, nowMs, plan -> prefillCost(prompt, plan, preferred));
  }

  /** Entries agree on the first reader of parts that nobody is known to cache. */
  private static Optional<ServerLoad> preferredEngine(Prompt prompt, List<ServerLoad> servers) {
    List<ServerLoad> prefilling =
        servers.stream().filter(load -> load.server().prefillOnly()).toList();
    return RendezvousHash.select(prompt.affinityKey(), prefilling.isEmpty() ? servers : prefilling);
  }

  private static PromptPlan plan(Prompt prompt, ServerLoad load, CacheDirectory directory) {
    int localTokens = load.prefixCache().cachedTokens(prompt);
    Optional<CacheDirectory.Holder> source = directory.sourceFor(load, localTokens);
    int cachedTokens = source.map(CacheDirectory.Holder::tokens).orElse(localTokens);
    return new PromptPlan(
        load,
        prompt.tokens() - cachedTokens,
        cachedTokens - localTokens,
        source.map(CacheDirectory.Holder::load));
  }

  private double prefillCost(Prompt prompt, PromptPlan plan, Optional<ServerLoad> preferred) {
    ServerLoad load = plan.server();
    double affinityMissMs =
        preferred.filter(engine -> !engine.equals(load)).isPresent()
            ? prompt.sharedTokens() * AFFINITY_MISS_MS_PER_TOKEN
            : 0;
    double handoverMs = plan.prefillFirst() ? HANDOVER_MS : 0;
    return queueMs(load)
        + plan.uncachedTokens() / prefillTokensPerMs(load.server())
        + plan.cacheSource().map(source -> fetchMs(source, plan)).orElse(0.0)
        + affinityMissMs
        + handoverMs
        + baseCost(load, domain);
  }

  private static double fetchMs(ServerLoad source, PromptPlan plan) {
    double linkFactor = source.server().domain().equals(plan.server().server().domain()) ? 1 : 2;
    return FETCH_START_MS + plan.fetchedTokens() * FETCH_MS_PER_TOKEN * linkFactor;
  }

  /**
   * Chooses the engine that generates the answer to a prompt that another engine has prefilled.
   *
   * @param servers the candidates
   * @param sourceDomain failure domain of the engine that holds the KV cache
   * @param nowMs monotonic time
   * @return the engine, if there is a candidate
   */
  public Optional<ServerLoad> chooseDecodeEngine(
      List<ServerLoad> servers, String sourceDomain, long nowMs) {
    List<ServerLoad> engines =
        servers.stream().filter(load -> !load.server().prefillOnly()).toList();
    return lowestCost(
        sampling.candidates(engines, nowMs),
        nowMs,
        load ->
            load.totalInFlight() * RUNNING_REQUEST_MS
                + queueMs(load)
                + baseCost(load, sourceDomain));
  }

  private static double queueMs(ServerLoad load) {
    return load.totalPromptTokens() / prefillTokensPerMs(load.server());
  }

  private static double prefillTokensPerMs(BackendServer server) {
    return server.prefillOnly() ? PREFILL_TOKENS_PER_MS : SHARED_PREFILL_TOKENS_PER_MS;
  }

  private static double baseCost(ServerLoad load, String preferredDomain) {
    double crossDomainMs =
        load.server().domain().equals(preferredDomain) ? 0 : CROSS_DOMAIN_COST_MS;
    return crossDomainMs + load.failureRate() * FAILURE_COST_MS;
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
