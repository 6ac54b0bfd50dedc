package io.samphiregauge.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Per failure domain, the engine that caches the longest shared prefix of one prompt. Built for a
 * single decision.
 *
 * <p>Fetching a long cached prefix from another engine takes tens of milliseconds; prefilling it
 * again takes hundreds.
 */
final class CacheDirectory {
  private final Map<String, Holder> byDomain = new HashMap<>();

  /** An engine and the number of leading prompt tokens that it caches. */
  record Holder(ServerLoad load, int tokens) {}

  private CacheDirectory() {}

  static CacheDirectory of(Prompt prompt, List<ServerLoad> servers, long nowMs) {
    CacheDirectory directory = new CacheDirectory();
    if (!prompt.isWorthFetching()) {
      return directory;
    }
    for (ServerLoad load : servers) {
      int tokens = Math.min(load.prefixCache().cachedTokens(prompt), prompt.sharedTokens());
      if (tokens >= Prompt.MIN_FETCH_TOKENS && !load.isAvoided(nowMs)) {
        directory.byDomain.merge(
            load.server().domain(),
            new Holder(load, tokens),
            (first, second) -> first.tokens() >= second.tokens() ? first : second);
      }
    }
    return directory;
  }

  boolean isEmpty() {
    return byDomain.isEmpty();
  }

  /**
   * Finds the engine that caches the longest prefix. On a tie, an engine in the failure domain of
   * the target is preferred.
   *
   * @param target the engine that prefills the prompt
   * @param cachedTokens leading prompt tokens that the target caches itself
   * @return the engine to fetch from, or empty if none caches at least {@link
   *     Prompt#MIN_FETCH_TOKENS} more tokens than the target
   */
  Optional<Holder> sourceFor(ServerLoad target, int cachedTokens) {
    Optional<Holder> best = Optional.ofNullable(byDomain.get(target.server().domain()));
    for (Holder holder : byDomain.values()) {
      if (best.isEmpty() || holder.tokens() > best.orElseThrow().tokens()) {
        best = Optional.of(holder);
      }
    }
    return best.filter(holder -> !holder.load().equals(target))
        .filter(holder -> holder.tokens() - cachedTokens >= Prompt.MIN_FETCH_TOKENS);
  }
}
