package io.samphiregauge.core;

import java.util.Comparator;

/**
 * A position in the history of a topic of the shared store.
 *
 * <p>The store may be restored from a copy, which loses the newest records. Offsets then go back
 * and are assigned again, so they are comparable only within one era.
 *
 * @param era number of the store's era, which each restore increases
 * @param endOffset offset after the last record
 */
public record StorePosition(long era, long endOffset) implements Comparable<StorePosition> {
  /** Era of a store that was never restored, and of one that does not tell its era. */
  public static final long FIRST_ERA = 0;

  private static final Comparator<StorePosition> ORDER =
      Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::endOffset);

  @Override
  public int compareTo(StorePosition other) {
    return ORDER.compare(this, other);
  }

  /** Returns whether no record was ever written before this position, in any era. */
  public boolean isBeforeAnyRecord() {
    return era == FIRST_ERA && endOffset == 0;
  }
}
