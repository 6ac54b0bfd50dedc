package io.samphiregauge.verify;

import java.util.List;

/**
 * A schedule in which a promise was broken.
 *
 * @param seed its seed
 * @param invariant name of the invariant
 * @param violation what broke it, when
 * @param step number of the step
 * @param replayedExactly whether the second run broke the same promise at the same step
 * @param trace lines of the schedule up to the violation
 */
public record FailedSchedule(
    long seed,
    String invariant,
    String violation,
    long step,
    boolean replayedExactly,
    List<String> trace) {
  /** Copies the trace. */
  public FailedSchedule {
    trace = List.copyOf(trace);
  }
}
