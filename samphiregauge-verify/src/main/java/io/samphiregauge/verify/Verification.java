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
 * Runs seeded fault schedules against the state machines and checks the invariants after every
 * step.
 *
 * <pre>{@code
 * VerificationReport report = Verification.of(2_000, 1).run();
 * int exitStatus = report.passed() ? 0 : 1;
 * }</pre>
 */
public final class Verification {
  /** Number of failed schedules after which a run stops. */
  private static final int MAX_FAILURES = 5;

  /** Number of schedules submitted to the thread pool at once. */
  private static final int BATCH_SIZE = 100;

  private final long schedules;
  private final long firstSeed;
  private final Consumer<InjectionPoints> injection;
  private final int maxFailures;

  private Verification(
      long schedules, long firstSeed, Consumer<InjectionPoints> injection, int maxFailures) {
    this.schedules = schedules;
    this.firstSeed = firstSeed;
    this.injection = injection;
    this.maxFailures = maxFailures;
  }

  /**
   * Returns a verification that runs consecutive seeds.
   *
   * @param schedules number of schedules, greater than 0
   * @param firstSeed seed of the first schedule; each following seed is greater by one
   * @return the verification, not started yet
   * @throws IllegalArgumentException if {@code schedules} is less than 1
   */
  public static Verification of(long schedules, long firstSeed) {
    if (schedules < 1) {
      throw new IllegalArgumentException("schedules must be greater than 0, was " + schedules);
    }
    return new Verification(schedules, firstSeed, injectionPoints -> {}, MAX_FAILURES);
  }

  /**
   * Runs a single schedule.
   *
   * @param seed seed of the schedule
   * @return report of the schedule, with its trace if it violates an invariant
   */
  public static VerificationReport replay(long seed) {
    return of(1, seed).run();
  }

  /**
   * Returns a verification with replaced calls to the state machines, to inject faults in tests.
   */
  Verification withInjection(Consumer<InjectionPoints> injection) {
    return new Verification(schedules, firstSeed, injection, maxFailures);
  }

  /** Returns a verification that stops after the first failed schedule. */
  Verification stopAtFirstFailure() {
    return new Verification(schedules, firstSeed, injection, 1);
  }

  /**
   * Runs the schedules on half of the available processors. Each schedule runs on one thread and
   * depends only on its seed, so the number of threads affects only the duration of the run.
   *
   * @return report of the schedules that ran
   * @throws IllegalStateException if the calling thread is interrupted or a schedule throws an
   *     exception
   */
  public VerificationReport run() {
    int threads = Math.max(1, Runtime.getRuntime().availableProcessors() / 2);
    ExecutorService executor = Executors.newFixedThreadPool(threads);
    try {
      return run(executor);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while running fault schedules", e);
    } catch (ExecutionException e) {
      throw new IllegalStateException("a fault schedule threw an exception", e.getCause());
    } finally {
      executor.shutdownNow();
    }
  }

  private VerificationReport run(ExecutorService executor)
      throws InterruptedException, ExecutionException {
    List<FailedSchedule> failed = new ArrayList<>();
    long completed = 0;
    long steps = 0;
    while (completed < schedules && failed.size() < maxFailures) {
      int batchSize = (int) Math.min(BATCH_SIZE, schedules - completed);
      List<Future<FaultSchedule.Outcome>> batch =
          submitBatch(executor, firstSeed + completed, batchSize);
      for (int i = 0; i < batchSize && failed.size() < maxFailures; i++) {
        FaultSchedule.Outcome outcome = batch.get(i).get();
        long seed = firstSeed + completed;
        outcome.violation().ifPresent(violation -> failed.add(replayWithTrace(seed, violation)));
        steps += outcome.steps();
        completed++;
      }
    }
    return new VerificationReport(firstSeed, schedules, completed, steps, failed);
  }

  private List<Future<FaultSchedule.Outcome>> submitBatch(
      ExecutorService executor, long seed, int batchSize) {
    List<Future<FaultSchedule.Outcome>> batch = new ArrayList<>();
    for (int i = 0; i < batchSize; i++) {
      long scheduleSeed = seed + i;
      batch.add(
          executor.submit(() -> FaultSchedule.run(scheduleSeed, injection, Optional.empty())));
    }
    return batch;
  }

  /** Replays a failed schedule to record its trace. */
  private FailedSchedule replayWithTrace(long seed, Violation violation) {
    List<String> lines = new ArrayList<>();
    FaultSchedule.Outcome replayed = FaultSchedule.run(seed, injection, Optional.of(lines::add));
    boolean replayedExactly = replayed.violation().filter(violation::equals).isPresent();
    return new FailedSchedule(
        seed,
        violation.invariant(),
        violation.toString(),
        violation.step(),
        replayedExactly,
        lines);
  }
}
