package io.samphiregauge.verify;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Virtual time, the steps that are due, and the checks after each of them. */
final class FaultSimulation {
  private static final Comparator<ScheduledStep> EXECUTION_ORDER =
      Comparator.comparingLong(ScheduledStep::atMs).thenComparingLong(ScheduledStep::sequence);

  /** A step that is due at a time; steps of one time run in the order in which they were added. */
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

  /** Returns the virtual time, which no process knows exactly. */
  long nowMs() {
    return nowMs;
  }

  long steps() {
    return steps;
  }

  /** Adds a step. */
  void schedule(long delayMs, Runnable step) {
    queue.add(new ScheduledStep(nowMs + delayMs, scheduledCount++, step));
  }

  void trace(Supplier<String> line) {
    tracer.ifPresent(sink -> sink.accept("%7d %s".formatted(nowMs, line.get())));
  }

  void observe(Observation observation) {
    for (ActiveInvariant check : activeInvariants) {
      if (violation.isPresent()) {
        return;
      }
      violation =
          check
              .invariant()
              .check(observation)
              .map(description -> new Violation(check.name(), nowMs, steps, description));
    }
  }

  /** Runs until a promise is broken or the time is over. */
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
