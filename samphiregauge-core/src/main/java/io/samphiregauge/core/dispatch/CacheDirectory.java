package io.samphiregauge.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Per failure domain and software version, the engine that caches the longest shared prefix of one
 * prompt. Built for a single decision.
 *
 * <p>Fetching a long cached prefix from another engine takes tens of milliseconds; prefilling it
 * again takes hundreds.
 */
final class CacheDirectory {
  private final Map<Place, Holder> holders = new HashMap<>();

  /** A failure domain, and the software version whose caches an engine of it can use. */
  private record Place(String domain, String softwareVersion) {
    static Place of(ServerLoad load) {
      return new Place(load.server().domain(), load.server().softwareVersion());
    }
  }

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
        directory.holders.merge(
            Place.of(load),
            new Holder(load, tokens),
            (first, second) -> first.tokens() >= second.tokens() ? first : second);
      }
    }
    return directory;
  }

  boolean isEmpty() {
    return holders.isEmpty();
  }

  /**
   * Finds the engine of the target's software version that caches the longest prefix. On a tie, an
   * engine in the failure domain of the target is preferred.
   *
   * @param target the engine that prefills the prompt
   * @param cachedTokens leading prompt tokens that the target caches itself
   * @return the engine to fetch from, or empty if none caches at least {@link
   *     Prompt#MIN_FETCH_TOKENS} more tokens than the target
   */
  Optional<Holder> sourceFor(ServerLoad target, int cachedTokens) {
    Optional<Holder> best = Optional.ofNullable(holders.get(Place.of(target)));
    for (Holder holder : holders.values()) {
      if (!target.server().isCompatibleWith(holder.load().server())) {
        continue;
      }
      if (best.isEmpty() || holder.tokens() > best.orElseThrow().tokens()) {
        best = Optional.of(holder);
      }
    }
    return best.filter(holder -> !holder.load().equals(target))
        .filter(holder -> holder.tokens() - cachedTokens >= Prompt.MIN_FETCH_TOKENS);
  }
}
