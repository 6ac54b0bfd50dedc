package io.samphiregauge.verify;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Runs seeded fault schedules over the state machines and checks the promises after every step.
 *
 * <pre>{@code
 * VerificationReport report = Verification.of(2_000, 1).run();
 * int exitStatus = report.passed() ? 0 : 1;
 * }</pre>
 */
public final class Verification {
  /** Failing schedules after which a run stops. */
  private static final int MAX_FAILURES = 5;

  private final long schedules;
  private final long firstSeed;
  private final Consumer<Seams> change;
  private final int maxFailures;

  private Verification(long schedules, long firstSeed, Consumer<Seams> change, int maxFailures) {
    this.schedules = schedules;
    this.firstSeed = firstSeed;
    this.change = change;
    this.maxFailures = maxFailures;
  }

  /**
   * Prepares a run.
   *
   * @param schedules number of schedules, greater than 0
   * @param firstSeed seed of the first schedule; the others follow one by one
   * @return the run
   */
  public static Verification of(long schedules, long firstSeed) {
    if (schedules < 1) {
      throw new IllegalArgumentException("schedules must be greater than 0, was " + schedules);
    }
    return new Verification(schedules, firstSeed, seams -> {}, MAX_FAILURES);
  }

  /**
   * Runs one schedule again.
   *
   * @param seed its seed
   * @return its report, with the trace where a promise is broken
   */
  public static VerificationReport replay(long seed) {
    return of(1, seed).run();
  }

  /** Replaces calls into the state machines; used to plant faults in tests. */
  Verification with(Consumer<Seams> planted) {
    return new Verification(schedules, firstSeed, planted, maxFailures);
  }

  Verification stopAtFirstFailure() {
    return new Verification(schedules, firstSeed, change, 1);
  }

  /**
   * Runs the schedules one after the other.
   *
   * @return what became of them
   */
  public VerificationReport run() {
    List<FailedSchedule> failed = new ArrayList<>();
    long done = 0;
    long steps = 0;
    while (done < schedules && failed.size() < maxFailures) {
      long seed = firstSeed + done;
      Schedule.Outcome outcome = Schedule.run(seed, change, Optional.empty());
      outcome.violation().ifPresent(violation -> failed.add(trace(seed, violation)));
      steps += outcome.steps();
      done++;
    }
    return new VerificationReport(firstSeed, schedules, done, steps, failed);
  }

  /** Runs a failing schedule again to record its trace. */
  private FailedSchedule trace(long seed, Violation violation) {
    List<String> lines = new ArrayList<>();
    Schedule.Outcome again = Schedule.run(seed, change, Optional.of(lines::add));
    boolean same = again.violation().filter(violation::equals).isPresent();
    return new FailedSchedule(
        seed, violation.invariant(), violation.toString(), violation.step(), same, lines);
  }
}
