package io.samphiregauge.core.dispatch;

import java.util.List;

/**
 * The prompt of a request for a model engine.
 *
 * @param tokens tokens of the prompt
 * @param maxOutputTokens most tokens of the answer
 * @param parts parts in their order; the last one belongs to the request or its session
 */
public record Prompt(int tokens, int maxOutputTokens, List<PromptPart> parts) {
  /** Shorter beginnings are read again sooner than an engine fetches them from another one. */
  static final int MIN_FETCH_TOKENS = 512;

  /** Copies the parts. */
  public Prompt {
    parts = List.copyOf(parts);
  }

  /**
   * Returns the parts that other requests have in common with this one.
   *
   * @return all parts but the last
   */
  public List<PromptPart> sharedParts() {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }

  /** Returns the tokens that other requests have in common with this one. */
  public int sharedTokens() {
    return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
  }

  /** Returns whether the shared parts are long enough to be fetched from another engine. */
  public boolean isWorthFetching() {
    return sharedTokens() >= MIN_FETCH_TOKENS;
  }

  /**
   * Returns the longest part that requests have in common; it decides where the prompt is cached.
   *
   * @return identifier of the part, or of the whole prompt where there is none
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
