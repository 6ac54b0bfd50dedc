package io.samphiregauge.verify;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
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

  /** Schedules that are handed to the threads at once. */
  private static final int BATCH = 100;

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
   * Runs the schedules. Each runs on one thread and depends on nothing but its seed, so the threads
   * change only the time that the run takes.
   *
   * @return what became of them
   */
  public VerificationReport run() {
    int workers = Math.max(1, Runtime.getRuntime().availableProcessors() / 2);
    ExecutorService pool = Executors.newFixedThreadPool(workers);
    try {
      return run(pool);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("the run was interrupted", e);
    } catch (ExecutionException e) {
      throw new IllegalStateException("a schedule ended with an exception", e.getCause());
    } finally {
      pool.shutdownNow();
    }
  }

  private VerificationReport run(ExecutorService pool)
      throws InterruptedException, ExecutionException {
    List<FailedSchedule> failed = new ArrayList<>();
    long done = 0;
    long steps = 0;
    while (done < schedules && failed.size() < maxFailures) {
      int count = (int) Math.min(BATCH, schedules - done);
      List<Future<Schedule.Outcome>> batch = start(pool, firstSeed + done, count);
      for (int i = 0; i < count && failed.size() < maxFailures; i++) {
        Schedule.Outcome outcome = batch.get(i).get();
        long seed = firstSeed + done;
        outcome.violation().ifPresent(violation -> failed.add(trace(seed, violation)));
        steps += outcome.steps();
        done++;
      }
    }
    return new VerificationReport(firstSeed, schedules, done, steps, failed);
  }

  private List<Future<Schedule.Outcome>> start(ExecutorService pool, long seed, int count) {
    List<Future<Schedule.Outcome>> batch = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      long one = seed + i;
      batch.add(pool.submit(() -> Schedule.run(one, change, Optional.empty())));
    }
    return batch;
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
