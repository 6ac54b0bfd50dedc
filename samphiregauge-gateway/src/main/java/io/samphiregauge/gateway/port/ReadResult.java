package io.samphiregauge.gateway.port;

import java.util.List;

/** What a read of the store gave. */
public sealed interface ReadResult {
  /**
   * Records from the offset that was asked for.
   *
   * @param records the records, oldest first
   * @param nextOffset offset after the last of them
   */
  record Records(List<StoreRecord> records, long nextOffset) implements ReadResult {}

  /**
   * The offset that was asked for has expired.
   *
   * @param firstOffset oldest offset that can be read
   */
  record Expired(long firstOffset) implements ReadResult {}
}
