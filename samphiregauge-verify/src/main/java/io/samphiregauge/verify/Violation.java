package io.samphiregauge.verify;

/**
 * Violation of an invariant.
 *
 * @param invariant name of the invariant
 * @param atMs virtual time of the observation, in milliseconds
 * @param step number of the step in the schedule
 * @param description observation that violates the invariant
 */
record Violation(String invariant, long atMs, long step, String description) {
  @Override
  public String toString() {
    return "%s at %d ms, step %d: %s".formatted(invariant, atMs, step, description);
  }
}
