package io.samphiregauge.verify;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** One schedule: everything in it follows from the seed. */
final class FaultSchedule {
  private static final long DURATION_MS = 45_000;

  static final List<Invariant.Definition> INVARIANTS = allInvariants();

  /** What became of a schedule. */
  record Outcome(long steps, Optional<Violation> violation) {}

  private FaultSchedule() {}

  static Outcome run(
      long seed, Consumer<InjectionPoints> injection, Optional<Consumer<String>> tracer) {
    InjectionPoints injectionPoints = new InjectionPoints();
    injection.accept(injectionPoints);
    FaultSimulation simulation = new FaultSimulation(seed, INVARIANTS, tracer);
    SimulatedDeployment deployment = new SimulatedDeployment(simulation, injectionPoints);
    SimulatedOperators operators = new SimulatedOperators(deployment);
    deployment.start();
    operators.start();
    new SimulatedCallers(deployment, operators).start();
    EnvironmentFaults.schedule(deployment);
    Optional<Violation> violation = simulation.run(DURATION_MS, deployment::observeRoleHolders);
    return new Outcome(simulation.steps(), violation);
  }

  private static List<Invariant.Definition> allInvariants() {
    List<Invariant.Definition> definitions = new ArrayList<>(ControlInvariants.ALL);
    definitions.addAll(RequestInvariants.ALL);
    return List.copyOf(definitions);
  }
}
