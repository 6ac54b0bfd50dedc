package io.samphiregauge.gateway.port;

/** Result of an append to which the store responded. */
public sealed interface AppendResult {
  /**
   * The record was appended.
   *
   * @param endOffset offset after the record
   */
  record Appended(long endOffset) implements AppendResult {}

  /**
   * The end offset of the topic differs from the expected one; nothing was appended.
   *
   * @param endOffset actual end offset of the topic
   */
  record Conflict(long endOffset) implements AppendResult {}
}
