package io.samphiregauge.verify;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Executes the scheduled steps of a fault schedule in virtual time and checks the invariants. */
final class FaultSimulation {
  private static final Comparator<ScheduledStep> EXECUTION_ORDER =
      Comparator.comparingLong(ScheduledStep::atMs).thenComparingLong(ScheduledStep::sequence);

  /**
   * A step due at a virtual time; simultaneous steps run in the order in which they were scheduled.
   */
  private record ScheduledStep(long atMs, long sequence, Runnable action) {}

  private record ActiveInvariant(String name, Invariant invariant) {}

  final SeededRandom random;
  private final PriorityQueue<ScheduledStep> queue = new PriorityQueue<>(EXECUTION_ORDER);
  private final List<ActiveInvariant> activeInvariants = new ArrayList<>();
  private final Optional<Consumer<String>> tracer;
  private Optional<Violation> violation = Optional.empty();
  private long nowMs;
  private long scheduledCount;
  private long steps;

  FaultSimulation(
      long seed, List<Invariant.Definition> invariants, Optional<Consumer<String>> tracer) {
    this.random = new SeededRandom(seed);
    this.tracer = tracer;
    invariants.forEach(
        definition ->
            activeInvariants.add(
                new ActiveInvariant(definition.name(), definition.factory().get())));
  }

  /** Returns the virtual time, in milliseconds. The clock of each VM differs from it. */
  long nowMs() {
    return nowMs;
  }

  long steps() {
    return steps;
  }

  /** Schedules a step after a delay of virtual time. */
  void schedule(long delayMs, Runnable step) {
    queue.add(new ScheduledStep(nowMs + delayMs, scheduledCount++, step));
  }

  /** Adds a line to the trace; the line is built only if a trace is recorded. */
  void trace(Supplier<String> line) {
    tracer.ifPresent(sink -> sink.accept("%7d %s".formatted(nowMs, line.get())));
  }

  /** Checks an observation against all invariants, and keeps the first violation. */
  void observe(Observation observation) {
    for (ActiveInvariant active : activeInvariants) {
      if (violation.isPresent()) {
        return;
      }
      violation =
          active
              .invariant()
              .check(observation)
              .map(description -> new Violation(active.name(), nowMs, steps, description));
    }
  }

  /**
   * Runs steps until an invariant is violated, no step is left or the next is due after {@code
   * untilMs}.
   */
  Optional<Violation> run(long untilMs, Runnable afterEachStep) {
    while (violation.isEmpty() && !queue.isEmpty() && queue.element().atMs() <= untilMs) {
      ScheduledStep next = queue.remove();
      nowMs = next.atMs();
      next.action().run();
      steps++;
      afterEachStep.run();
    }
    violation.ifPresent(found -> trace(() -> "VIOLATION " + found));
    return violation;
  }
}
