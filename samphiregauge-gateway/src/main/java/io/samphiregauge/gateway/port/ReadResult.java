package io.samphiregauge.gateway.port;

import io.samphiregauge.core.StorePosition;
import java.util.List;

/** Result of a read from an offset of a topic. */
public sealed interface ReadResult {
  /** Returns the era of the store in which the read was performed. */
  long era();

  /**
   * Records from the requested offset.
   *
   * @param records the records, oldest first
   * @param nextOffset offset after the last record
   * @param era era of the store
   */
  record Records(List<StoreRecord> records, long nextOffset, long era) implements ReadResult {
    /** Creates the result of a store that was never restored. */
    public Records(List<StoreRecord> records, long nextOffset) {
      this(records, nextOffset, StorePosition.FIRST_ERA);
    }

    /** Returns the position after the last record. */
    public StorePosition position() {
      return new StorePosition(era, nextOffset);
    }
  }

  /**
   * The requested offset has expired.
   *
   * @param firstOffset oldest offset that can be read
   * @param era era of the store
   */
  record Expired(long firstOffset, long era) implements ReadResult {
    /** Creates the result of a store that was never restored. */
    public Expired(long firstOffset) {
      this(firstOffset, StorePosition.FIRST_ERA);
    }
  }
}
