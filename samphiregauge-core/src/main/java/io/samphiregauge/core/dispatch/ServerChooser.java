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
  private static final double OTHER_DOMAIN_MS = 6;

  /** Cost of a failure, as a multiple of the share of failed answers. */
  private static final double FAILURE_COST_MS = 400;

  /** Prompt tokens that a prefill engine works off in a millisecond, from measured queues. */
  private static final double PREFILL_TOKENS_PER_MS = 31;

  /** The same for an engine that generates tokens at the same time. */
  private static final double SHARED_PREFILL_TOKENS_PER_MS = 8;

  /** Added to each token's time by each request that an engine generates for. */
  private static final double RUNNING_REQUEST_MS = 2;

  /** Time of a second engine's start on a request, and the price of moving the KV cache. */
  private static final double HAND_OVER_MS = 100;

  /**
   * Price of reading a shared token at another engine than its home, beside the time that it takes.
   */
  private static final double REREAD_MS_PER_TOKEN = 0.02;

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
  public Optional<ServerLoad> plain(List<ServerLoad> servers, long nowMs) {
    return least(
        sampling.candidates(servers, nowMs),
        nowMs,
        load -> (load.allInFlight() + 1) * load.latencyMs() + generalCost(load, domain));
  }

  /**
   * Chooses where a prompt is prefilled, and whether that server also generates the answer.
   *
   * @param prompt the prompt
   * @param servers the candidates
   * @param nowMs monotonic time
   * @return the plan, if there is a candidate that can generate
   */
  public Optional<PromptPlan> prefill(Prompt prompt, List<ServerLoad> servers, long nowMs) {
    boolean canGenerate = servers.stream().anyMatch(load -> !load.server().prefillOnly());
    if (!canGenerate) {
      return Optional.empty();
    }
    CacheDirectory cached = CacheDirectory.of(prompt, servers, nowMs);
    Optional<ServerLoad> home = cached.isEmpty() ? home(prompt, servers) : Optional.empty();
    List<ServerLoad> candidates = new ArrayList<>(sampling.candidates(servers, nowMs));
    home.filter(load -> !candidates.contains(load)).ifPresent(candidates::add);
    List<PromptPlan> plans = candidates.stream().map(load -> plan(prompt, load, cached)).toList();
    return least(plans, PromptPlan::server, nowMs, plan -> prefillCost(prompt, plan, home));
  }

  /** Entries agree on the first reader of parts that nobody is known to cache. */
  private static Optional<ServerLoad> home(Prompt prompt, List<ServerLoad> servers) {
    List<ServerLoad> prefilling =
        servers.stream().filter(load -> load.server().prefillOnly()).toList();
    return Rendezvous.home(prompt.home(), prefilling.isEmpty() ? servers : prefilling);
  }

  private static PromptPlan plan(Prompt prompt, ServerLoad load, CacheDirectory cached) {
    int kept = load.prefixes().cachedTokens(prompt);
    Optional<CacheDirectory.Holder> source = cached.sourceFor(load, kept);
    int held = source.map(CacheDirectory.Holder::tokens).orElse(kept);
    return new PromptPlan(
        load, prompt.tokens() - held, held - kept, source.map(CacheDirectory.Holder::load));
  }

  private double prefillCost(Prompt prompt, PromptPlan plan, Optional<ServerLoad> home) {
    ServerLoad load = plan.server();
    double strangerMs =
        home.filter(at -> !at.equals(load)).isPresent()
            ? prompt.sharedTokens() * REREAD_MS_PER_TOKEN
            : 0;
    double handOverMs = plan.prefillFirst() ? HAND_OVER_MS : 0;
    return queueMs(load)
        + plan.uncachedTokens() / rate(load.server())
        + plan.cacheSource().map(from -> fetchMs(from, plan)).orElse(0.0)
        + strangerMs
        + handOverMs
        + generalCost(load, domain);
  }

  private static double fetchMs(ServerLoad from, PromptPlan plan) {
    double distance = from.server().domain().equals(plan.server().server().domain()) ? 1 : 2;
    return FETCH_START_MS + plan.fetchedTokens() * FETCH_MS_PER_TOKEN * distance;
  }

  /**
   * Chooses the engine that generates the answer to a prompt that another engine has prefilled.
   *
   * @param servers the candidates
   * @param source failure domain of the engine that holds the KV cache
   * @param nowMs monotonic time
   * @return the engine, if there is a candidate
   */
  public Optional<ServerLoad> decode(List<ServerLoad> servers, String source, long nowMs) {
    List<ServerLoad> engines =
        servers.stream().filter(load -> !load.server().prefillOnly()).toList();
    return least(
        sampling.candidates(engines, nowMs),
        nowMs,
        load ->
            load.allInFlight() * RUNNING_REQUEST_MS + queueMs(load) + generalCost(load, source));
  }

  private static double queueMs(ServerLoad load) {
    return load.allPromptTokens() / rate(load.server());
  }

  private static double rate(BackendServer server) {
    return server.prefillOnly() ? PREFILL_TOKENS_PER_MS : SHARED_PREFILL_TOKENS_PER_MS;
  }

  private static double generalCost(ServerLoad load, String near) {
    double far = load.server().domain().equals(near) ? 0 : OTHER_DOMAIN_MS;
    return far + load.failureShare() * FAILURE_COST_MS;
  }

  private static Optional<ServerLoad> least(
      List<ServerLoad> servers, long nowMs, ToDoubleFunction<ServerLoad> cost) {
    return least(servers, load -> load, nowMs, cost);
  }

  private static <T> Optional<T> least(
      List<T> choices, Function<T, ServerLoad> server, long nowMs, ToDoubleFunction<T> cost) {
    Optional<T> best = Optional.empty();
    double lowest = Double.MAX_VALUE;
    boolean bestAvoided = true;
    for (T choice : choices) {
      boolean avoided = server.apply(choice).avoided(nowMs);
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
