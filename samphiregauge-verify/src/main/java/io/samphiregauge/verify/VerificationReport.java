package io.samphiregauge.verify;

import java.util.List;

/**
 * Result of a run of schedules.
 *
 * @param firstSeed seed of the first schedule
 * @param schedules number of schedules that were asked for
 * @param done number of schedules that ran
 * @param steps steps of all schedules; the invariants were checked after each of them
 * @param failed schedules in which a promise was broken
 */
public record VerificationReport(
    long firstSeed, long schedules, long done, long steps, List<FailedSchedule> failed) {
  /** Copies the failed schedules. */
  public VerificationReport {
    failed = List.copyOf(failed);
  }

  /**
   * Tells whether all promises were kept.
   *
   * @return true where no schedule failed and all ran
   */
  public boolean passed() {
    return failed.isEmpty() && done == schedules;
  }

  /**
   * Returns the exit status of a command that prints this report.
   *
   * @return 0 where all promises were kept, else 1
   */
  public int exitStatus() {
    return passed() ? 0 : 1;
  }
}
