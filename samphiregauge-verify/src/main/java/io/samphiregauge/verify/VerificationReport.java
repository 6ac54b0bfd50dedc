package io.samphiregauge.verify;

import java.util.List;

/**
 * Result of a run of schedules.
 *
 * @param firstSeed seed of the first schedule
 * @param schedules number of schedules requested
 * @param done number of schedules that ran; fewer than requested if too many failed
 * @param steps total number of steps of all schedules
 * @param failed schedules that violated an invariant
 */
public record VerificationReport(
    long firstSeed, long schedules, long done, long steps, List<FailedSchedule> failed) {
  /** Makes an unmodifiable copy of the failed schedules. */
  public VerificationReport {
    failed = List.copyOf(failed);
  }

  /**
   * Returns whether all schedules ran and none violated an invariant.
   *
   * @return whether the verification passed
   */
  public boolean passed() {
    return failed.isEmpty() && done == schedules;
  }

  /**
   * Returns the exit status of a command that prints this report.
   *
   * @return 0 if the verification passed, else 1
   */
  public int exitStatus() {
    return passed() ? 0 : 1;
  }
}
