package io.samphiregauge.verify;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Virtual time, the steps that are due, and the checks after each of them. */
final class World {
  private static final Comparator<Item> ORDER =
      Comparator.comparingLong(Item::atMs).thenComparingLong(Item::number);

  /** A step that is due at a time; steps of one time run in the order in which they were added. */
  private record Item(long atMs, long number, Runnable step) {}

  private record Check(String name, Invariant invariant) {}

  final Seeded random;
  private final PriorityQueue<Item> agenda = new PriorityQueue<>(ORDER);
  private final List<Check> checks = new ArrayList<>();
  private final Optional<Consumer<String>> tracer;
  private Optional<Violation> violation = Optional.empty();
  private long nowMs;
  private long added;
  private long steps;

  World(long seed, List<Invariant.Named> invariants, Optional<Consumer<String>> tracer) {
    this.random = new Seeded(seed);
    this.tracer = tracer;
    invariants.forEach(named -> checks.add(new Check(named.name(), named.open().get())));
  }

  /** Returns the virtual time, which no process knows exactly. */
  long nowMs() {
    return nowMs;
  }

  long steps() {
    return steps;
  }

  /** Adds a step. */
  void in(long delayMs, Runnable step) {
    agenda.add(new Item(nowMs + delayMs, added++, step));
  }

  void trace(Supplier<String> line) {
    tracer.ifPresent(t -> t.accept("%7d %s".formatted(nowMs, line.get())));
  }

  void observe(Observation seen) {
    for (Check check : checks) {
      if (violation.isPresent()) {
        return;
      }
      violation =
          check.invariant().check(seen).map(w -> new Violation(check.name(), nowMs, steps, w));
    }
  }

  /** Runs until a promise is broken or the time is over. */
  Optional<Violation> run(long untilMs, Runnable afterEachStep) {
    while (violation.isEmpty() && !agenda.isEmpty() && agenda.element().atMs() <= untilMs) {
      Item item = agenda.remove();
      nowMs = item.atMs();
      item.step().run();
      steps++;
      afterEachStep.run();
    }
    violation.ifPresent(broken -> trace(() -> "VIOLATION " + broken));
    return violation;
  }
}
