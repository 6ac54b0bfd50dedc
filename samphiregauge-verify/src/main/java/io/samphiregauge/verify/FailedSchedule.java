package io.samphiregauge.verify;

import java.util.List;

/**
 * A schedule that violated an invariant.
 *
 * @param seed seed of the schedule
 * @param invariant name of the violated invariant
 * @param violation description of the violation, with its virtual time and step
 * @param step number of the step at which the violation was observed
 * @param replayedExactly whether the replay violated the same invariant in the same way at the same
 *     step
 * @param trace trace of the replay up to the violation
 */
public record FailedSchedule(
    long seed,
    String invariant,
    String violation,
    long step,
    boolean replayedExactly,
    List<String> trace) {
  /** Makes an unmodifiable copy of the trace. */
  public FailedSchedule {
    trace = List.copyOf(trace);
  }
}
