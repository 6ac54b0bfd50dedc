package io.samphiregauge.core.dispatch;

import java.util.List;

/**
 * The prompt of a request for a model engine.
 *
 * @param tokens length of the prompt, in tokens
 * @param maxOutputTokens maximum length of the response, in tokens
 * @param parts parts in prompt order; the last one is specific to the request or its session
 */
public record Prompt(int tokens, int maxOutputTokens, List<PromptPart> parts) {
  /** Minimum prefix length to fetch; prefilling a shorter prefix is faster than fetching it. */
  static final int MIN_FETCH_TOKENS = 512;

  /** Creates a prompt with an immutable copy of the parts. */
  public Prompt {
    parts = List.copyOf(parts);
  }

  /**
   * Returns the parts that other requests may share.
   *
   * @return all parts except the last
   */
  public List<PromptPart> sharedParts() {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }

  /** Returns the total length of the shared parts, in tokens. */
  public int sharedTokens() {
    return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
  }

  /** Returns whether the shared parts are long enough to fetch from the cache of another engine. */
  public boolean isWorthFetching() {
    return sharedTokens() >= MIN_FETCH_TOKENS;
  }

  /**
   * Returns the key that selects the preferred engine of the prompt, so that requests with the same
   * long part go to the same engine.
   *
   * @return identifier of the longest shared part, or an empty string without shared parts
   */
  public String affinityKey() {
    PromptPart longest = new PromptPart("", 0);
    for (PromptPart part : sharedParts()) {
      if (part.tokens() > longest.tokens()) {
        longest = part;
      }
    }
    return longest.id();
  }
}
