package io.samphiregauge.verify;

import java.util.Optional;
import java.util.function.Supplier;

/** Checks one invariant against the observations of a schedule; may keep state between them. */
@FunctionalInterface
interface Invariant {
  /**
   * Checks an observation.
   *
   * @return description of the violation, or empty if the invariant holds
   */
  Optional<String> check(Observation observation);

  /**
   * Names an invariant and creates an instance for each schedule.
   *
   * @param promiseNumber number of the promise on the design page, or 0 if it is not listed there
   * @param name name in reports
   * @param factory creates an instance without state from other schedules
   */
  record Definition(int promiseNumber, String name, Supplier<Invariant> factory) {}
}
