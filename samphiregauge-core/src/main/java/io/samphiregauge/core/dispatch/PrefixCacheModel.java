package io.samphiregauge.core.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt parts an engine caches, from the requests that all entries sent to it.
 * Evicts the least recently used parts first, as the engine does. Not thread-safe.
 */
public final class PrefixCacheModel {
  /** Fraction of an engine's KV memory assumed for the cache; running requests use the rest. */
  private static final double CACHE_SHARE = 0.8;

  private final long capacityTokens;
  private final LinkedHashMap<String, Integer> cachedParts = new LinkedHashMap<>(64, 0.75f, true);
  private long cachedTokenCount;

  /**
   * Creates an empty cache model.
   *
   * @param engineTokens capacity of the engine's KV memory, in tokens
   */
  public PrefixCacheModel(long engineTokens) {
    capacityTokens = (long) (engineTokens * CACHE_SHARE);
  }

  /**
   * Adds the leading parts of a prompt that the engine has prefilled.
   *
   * @param prefilled the prefilled parts, in prompt order
   */
  public void recordPrefilled(List<PromptPart> prefilled) {
    for (PromptPart part : prefilled) {
      if (cachedParts.put(part.id(), part.tokens()) == null) {
        cachedTokenCount += part.tokens();
      }
    }
    Iterator<Map.Entry<String, Integer>> eldest = cachedParts.entrySet().iterator();
    while (cachedTokenCount > capacityTokens && eldest.hasNext()) {
      cachedTokenCount -= eldest.next().getValue();
      eldest.remove();
    }
  }

  /**
   * Returns the number of leading prompt tokens that need no prefill.
   *
   * @param prompt the prompt
   * @return total length of the leading parts that are cached, in tokens
   */
  public int cachedTokens(Prompt prompt) {
    int cached = 0;
    for (PromptPart part : prompt.parts()) {
      if (!cachedParts.containsKey(part.id())) {
        break;
      }
      cached += part.tokens();
    }
    return cached;
  }
}
