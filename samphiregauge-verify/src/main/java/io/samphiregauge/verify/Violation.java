package io.samphiregauge.verify;

/**
 * A broken promise.
 *
 * @param invariant name of the invariant
 * @param atMs virtual time
 * @param step number of the step in the schedule
 * @param description what broke it
 */
record Violation(String invariant, long atMs, long step, String description) {
  @Override
  public String toString() {
    return "%s at %d ms, step %d: %s".formatted(invariant, atMs, step, description);
  }
}
