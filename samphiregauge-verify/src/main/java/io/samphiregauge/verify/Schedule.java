package io.samphiregauge.verify;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** One schedule: everything in it follows from the seed. */
final class Schedule {
  private static final long LENGTH_MS = 45_000;

  static final List<Invariant.Named> INVARIANTS = invariants();

  /** What became of a schedule. */
  record Outcome(long steps, Optional<Violation> violation) {}

  private Schedule() {}

  static Outcome run(long seed, Consumer<Seams> change, Optional<Consumer<String>> tracer) {
    Seams seams = new Seams();
    change.accept(seams);
    World world = new World(seed, INVARIANTS, tracer);
    Deployment deployment = new Deployment(world, seams);
    Operator operator = new Operator(deployment);
    deployment.start();
    operator.start();
    new Callers(deployment, operator).start();
    Faults.plan(deployment);
    Optional<Violation> violation = world.run(LENGTH_MS, deployment::observeHolders);
    return new Outcome(world.steps(), violation);
  }

  private static List<Invariant.Named> invariants() {
    List<Invariant.Named> all = new ArrayList<>(LogInvariants.ALL);
    all.addAll(RequestInvariants.ALL);
    return List.copyOf(all);
  }
}
