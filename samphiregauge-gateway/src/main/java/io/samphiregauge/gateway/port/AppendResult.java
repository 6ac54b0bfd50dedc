package io.samphiregauge.gateway.port;

import io.samphiregauge.core.StorePosition;

/** Result of an append to which the store responded. */
public sealed interface AppendResult {
  /** Returns the end of the topic after the call. */
  StorePosition position();

  /**
   * The record was appended.
   *
   * @param position end of the topic after the record
   */
  record Appended(StorePosition position) implements AppendResult {
    /** Creates the result of a store that was never restored. */
    public Appended(long endOffset) {
      this(new StorePosition(StorePosition.FIRST_ERA, endOffset));
    }
  }

  /**
   * The end offset of the topic differs from the expected one; nothing was appended.
   *
   * @param position actual end of the topic
   */
  record Conflict(StorePosition position) implements AppendResult {
    /** Creates the result of a store that was never restored. */
    public Conflict(long endOffset) {
      this(new StorePosition(StorePosition.FIRST_ERA, endOffset));
    }
  }
}
