package io.samphiregauge.gateway.port;

import java.util.List;

/** Result of a read from an offset of a topic. */
public sealed interface ReadResult {
  /**
   * Records from the requested offset.
   *
   * @param records the records, oldest first
   * @param nextOffset offset after the last record
   */
  record Records(List<StoreRecord> records, long nextOffset) implements ReadResult {}

  /**
   * The requested offset has expired.
   *
   * @param firstOffset oldest offset that can be read
   */
  record Expired(long firstOffset) implements ReadResult {}
}
