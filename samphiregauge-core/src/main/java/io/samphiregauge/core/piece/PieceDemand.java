package io.samphiregauge.core.piece;

import io.samphiregauge.schema.record.Incarnation;

/** Says how much capacity the callers of an entry ask for, relative to the other entries. */
@FunctionalInterface
public interface PieceDemand {
  /**
   * Returns the demand at an entry.
   *
   * @param entry the entry
   * @return demand in any unit, at least 0
   */
  double of(Incarnation entry);

  /**
   * Returns equal demand everywhere.
   *
   * @return the demand
   */
  static PieceDemand equal() {
    return entry -> 1;
  }
}
