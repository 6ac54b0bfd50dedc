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
    void changed(CacheEventKind kind, String prefix, int tokens);
  }

  private static final float LOAD_FACTOR = 0.75f;

  private final int capacityTokens;
  private final Listener listener;
  private final Map<String, Integer> lengths = new LinkedHashMap<>(16, LOAD_FACTOR, true);

  PrefixCache(int capacityTokens, Listener listener) {
    this.capacityTokens = capacityTokens;
    this.listener = listener;
  }

  /** Returns the length of the longest prefix that is cached, and marks it as used. */
  int cachedTokens(List<String> prefixes) {
    int blocks = 0;
    while (blocks < prefixes.size() && lengths.get(prefixes.get(blocks)) != null) {
      blocks++;
    }
    return blocks * PrefixHashes.BLOCK_TOKENS;
  }

  void store(List<String> prefixes) {
    for (int i = 0; i < prefixes.size(); i++) {
      int tokens = (i + 1) * PrefixHashes.BLOCK_TOKENS;
      if (lengths.put(prefixes.get(i), tokens) == null) {
        listener.changed(CacheEventKind.STORED, prefixes.get(i), tokens);
      }
    }
    evict();
  }

  /** Returns the size of the cache; each prefix holds the tokens of its last block. */
  int usedTokens() {
    return lengths.size() * PrefixHashes.BLOCK_TOKENS;
  }

  void clear() {
    lengths.clear();
    listener.changed(CacheEventKind.CLEARED, "", 0);
  }

  private void evict() {
    List<String> oldestFirst = new ArrayList<>(lengths.keySet());
    for (String prefix : oldestFirst) {
      if (usedTokens() <= capacityTokens) {
        return;
      }
      listener.changed(CacheEventKind.EVICTED, prefix, lengths.remove(prefix));
    }
  }
}
