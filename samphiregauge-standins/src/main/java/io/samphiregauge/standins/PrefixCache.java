package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.CacheEventKind;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Simulates the prefix cache of an engine, with least-recently-used eviction. */
final class PrefixCache {
  /** Called for each prefix that is stored or evicted, and when the cache is cleared. */
  @FunctionalInterface
  interface Listener {
    void cacheChanged(CacheEventKind kind, String prefix, int tokens);
  }

  private static final float LOAD_FACTOR = 0.75f;

  private final int capacityTokens;
  private final Listener listener;
  private final Map<String, Integer> tokensByPrefix = new LinkedHashMap<>(16, LOAD_FACTOR, true);

  PrefixCache(int capacityTokens, Listener listener) {
    this.capacityTokens = capacityTokens;
    this.listener = listener;
  }

  /** Returns the length in tokens of the longest cached prefix, and marks its blocks as used. */
  int touchCachedPrefix(List<String> prefixes) {
    int blocks = 0;
    while (blocks < prefixes.size() && tokensByPrefix.get(prefixes.get(blocks)) != null) {
      blocks++;
    }
    return blocks * PrefixHashes.BLOCK_TOKENS;
  }

  /** Stores all prefixes of a prompt, shortest first, and evicts down to the capacity. */
  void store(List<String> prefixes) {
    for (int i = 0; i < prefixes.size(); i++) {
      int tokens = (i + 1) * PrefixHashes.BLOCK_TOKENS;
      if (tokensByPrefix.put(prefixes.get(i), tokens) == null) {
        listener.cacheChanged(CacheEventKind.STORED, prefixes.get(i), tokens);
      }
    }
    evict();
  }

  /** Returns the size of the cache in tokens; each prefix accounts for its last block only. */
  int usedTokens() {
    return tokensByPrefix.size() * PrefixHashes.BLOCK_TOKENS;
  }

  void clear() {
    tokensByPrefix.clear();
    listener.cacheChanged(CacheEventKind.CLEARED, "", 0);
  }

  private void evict() {
    List<String> leastRecentlyUsedFirst = new ArrayList<>(tokensByPrefix.keySet());
    for (String prefix : leastRecentlyUsedFirst) {
      if (usedTokens() <= capacityTokens) {
        return;
      }
      listener.cacheChanged(CacheEventKind.EVICTED, prefix, tokensByPrefix.remove(prefix));
    }
  }
}
