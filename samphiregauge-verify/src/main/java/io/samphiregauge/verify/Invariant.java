package io.samphiregauge.verify;

import java.util.Optional;
import java.util.function.Supplier;

/** A promise that is checked with every observation of one schedule. */
@FunctionalInterface
interface Invariant {
  /**
   * Takes an observation.
   *
   * @return what broke the promise, or empty
   */
  Optional<String> check(Observation observation);

  /**
   * An invariant by name; each schedule gets one of its own.
   *
   * @param promiseNumber number of the promise on the design page, or 0
   * @param name name in reports
   * @param factory makes the check
   */
  record Definition(int promiseNumber, String name, Supplier<Invariant> factory) {}
}
