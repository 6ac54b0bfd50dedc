package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.CacheEventKind;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Prefix cache of an engine; evicts the prefix that was used longest ago. */
final class PrefixCache {
  /** Receives each change of the cache. */
  @FunctionalInterface
  interface Listener {
    void onChange(CacheEventKind kind, String prefix, int tokens);
  }

  private static final float LOAD_FACTOR = 0.75f;

  private final int capacityTokens;
  private final Listener listener;
  private final Map<String, Integer> tokensByPrefix = new LinkedHashMap<>(16, LOAD_FACTOR, true);

  PrefixCache(int capacityTokens, Listener listener) {
    this.capacityTokens = capacityTokens;
    this.listener = listener;
  }

  /** Returns the length of the longest prefix that is cached, and marks it as used. */
  int useCachedTokens(List<String> prefixes) {
    int blocks = 0;
    while (blocks < prefixes.size() && tokensByPrefix.get(prefixes.get(blocks)) != null) {
      blocks++;
    }
    return blocks * PrefixHashes.BLOCK_TOKENS;
  }

  void store(List<String> prefixes) {
    for (int i = 0; i < prefixes.size(); i++) {
      int tokens = (i + 1) * PrefixHashes.BLOCK_TOKENS;
      if (tokensByPrefix.put(prefixes.get(i), tokens) == null) {
        listener.onChange(CacheEventKind.STORED, prefixes.get(i), tokens);
      }
    }
    evict();
  }

  /** Returns the size of the cache; each prefix holds the tokens of its last block. */
  int usedTokens() {
    return tokensByPrefix.size() * PrefixHashes.BLOCK_TOKENS;
  }

  void clear() {
    tokensByPrefix.clear();
    listener.onChange(CacheEventKind.CLEARED, "", 0);
  }

  private void evict() {
    List<String> oldestFirst = new ArrayList<>(tokensByPrefix.keySet());
    for (String prefix : oldestFirst) {
      if (usedTokens() <= capacityTokens) {
        return;
      }
      listener.onChange(CacheEventKind.EVICTED, prefix, tokensByPrefix.remove(prefix));
    }
  }
}
