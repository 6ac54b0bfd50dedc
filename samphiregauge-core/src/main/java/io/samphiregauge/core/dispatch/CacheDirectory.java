package io.samphiregauge.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Which engines cache the shared parts of one prompt, by failure domain, as of one decision.
 *
 * <p>An engine without them can fetch them from one that has them in a few milliseconds, where
 * reading them again takes hundreds.
 */
final class CacheDirectory {
  private final Map<String, Holder> byDomain = new HashMap<>();

  /** An engine, and the tokens at the start of the prompt that it caches. */
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
   * Finds the engine from which another one fetches the most; one of the same failure domain is
   * preferred.
   *
   * @param target the engine that reads the prompt
   * @param cachedTokens tokens that the reader caches itself
   * @return the engine to fetch from, if fetching is worth it
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
