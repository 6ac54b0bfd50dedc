package io.samphiregauge.gateway.port;

/** What a conditional append gave, where the store answered. */
public sealed interface AppendResult {
  /**
   * The records are in the store.
   *
   * @param endOffset offset after the last of them
   */
  record Appended(long endOffset) implements AppendResult {}

  /**
   * The topic ends at another offset; nothing was appended.
   *
   * @param endOffset offset at which it ends
   */
  record Conflict(long endOffset) implements AppendResult {}
}
