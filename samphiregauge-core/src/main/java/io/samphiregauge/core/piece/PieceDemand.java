package io.samphiregauge.core.piece;

import io.samphiregauge.schema.record.Incarnation;

/** Provides the relative demand for capacity at an entry. */
@FunctionalInterface
public interface PieceDemand {
  /**
   * Returns the demand at an entry.
   *
   * @param entry the entry
   * @return demand, at least 0, in a unit that is the same for all entries
   */
  double of(Incarnation entry);

  /**
   * Returns a function with equal demand at all entries.
   *
   * @return the constant demand
   */
  static PieceDemand equal() {
    return entry -> 1;
  }
}
