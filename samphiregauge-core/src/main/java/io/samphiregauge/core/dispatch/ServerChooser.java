package io.samphiregauge.core.dispatch;

import io.samphiregauge.core.backend.BackendServer;
import java.util.List;
import java.util.Optional;
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

  /** Price of prefilling a shared token again, beside the time that it takes. */
  private static final double REREAD_MS_PER_TOKEN = 0.02;

  private final String domain;

  /**
   * Makes a chooser for one entry.
   *
   * @param domain failure domain of the entry
   */
  public ServerChooser(String domain) {
    this.domain = domain;
  }

  /** What is to be done with the prompt of a request. */
  public record PromptPlan(ServerLoad server, boolean prefillFirst, int uncachedTokens) {}

  /**
   * Chooses a server that runs whole requests.
   *
   * @param servers the candidates
   * @param nowMs monotonic time
   * @return the server, if there is a candidate
   */
  public Optional<ServerLoad> plain(List<ServerLoad> servers, long nowMs) {
    return least(
        servers,
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
    // Prompts are spread by the rate at which servers prefill.
    Optional<ServerLoad> home = Rendezvous.home(prompt.home(), servers, ServerChooser::rate);
    int shared = prompt.sharedParts().stream().mapToInt(PromptPart::tokens).sum();
    return least(servers, nowMs, load -> prefillCost(prompt, load, shared, isHome(home, load)))
        .map(
            load ->
                new PromptPlan(
                    load,
                    load.server().prefillOnly(),
                    uncached(prompt, load, shared, isHome(home, load))));
  }

  private static boolean isHome(Optional<ServerLoad> home, ServerLoad load) {
    return home.filter(load::equals).isPresent();
  }

  /** Other entries send the same parts to the same home, so it has read them for all. */
  private static int uncached(Prompt prompt, ServerLoad load, int shared, boolean atHome) {
    int cached = load.prefixes().cachedTokens(prompt);
    return Math.max(0, prompt.tokens() - (atHome ? Math.max(cached, shared) : cached));
  }

  private double prefillCost(Prompt prompt, ServerLoad load, int shared, boolean atHome) {
    int uncached = uncached(prompt, load, shared, atHome);
    int reread = Math.max(0, uncached - (prompt.tokens() - shared));
    double handOverMs = load.server().prefillOnly() ? HAND_OVER_MS : 0;
    return queueMs(load)
        + uncached / rate(load.server())
        + reread * REREAD_MS_PER_TOKEN
        + handOverMs
        + generalCost(load, domain);
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
        engines,
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
    Optional<ServerLoad> best = Optional.empty();
    double lowest = Double.MAX_VALUE;
    boolean bestAvoided = true;
    for (ServerLoad load : servers) {
      boolean avoided = load.avoided(nowMs);
      double ms = cost.applyAsDouble(load);
      if (best.isEmpty() || (bestAvoided && !avoided) || (bestAvoided == avoided && ms < lowest)) {
        best = Optional.of(load);
        lowest = ms;
        bestAvoided = avoided;
      }
    }
    return best;
  }
}
