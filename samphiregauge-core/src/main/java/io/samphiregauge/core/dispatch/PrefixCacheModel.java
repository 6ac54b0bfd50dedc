package io.samphiregauge.core.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The prompt parts that an engine probably caches, judged by the requests that all entries sent. It
 * evicts as the engine does: least recently used parts first. Used by one thread.
 */
public final class PrefixCacheModel {
  /** Part of an engine's memory that is assumed for the cache; running requests use the rest. */
  private static final double CACHE_SHARE = 0.8;

  private final long capacityTokens;
  private final LinkedHashMap<String, Integer> cachedParts = new LinkedHashMap<>(64, 0.75f, true);
  private long cachedTokenCount;

  /**
   * Makes an empty memory.
   *
   * @param engineTokens tokens that the engine's memory holds
   */
  public PrefixCacheModel(long engineTokens) {
    capacityTokens = (long) (engineTokens * CACHE_SHARE);
  }

  /**
   * Notes that the engine has read the start of a prompt.
   *
   * @param prefilled the parts that it has read, in their order
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
   * Returns the tokens at the start of a prompt that need no prefill.
   *
   * @param prompt the prompt
   * @return tokens of the leading parts that are cached
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
