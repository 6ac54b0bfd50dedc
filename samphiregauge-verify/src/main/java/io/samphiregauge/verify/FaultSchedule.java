package io.samphiregauge.verify;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Runs one fault schedule, which depends only on its seed and the injected fault. */
final class FaultSchedule {
  private static final long DURATION_MS = 45_000;

  static final List<Invariant.Definition> INVARIANTS = allInvariants();

  /** Number of steps of a schedule and its violation, if any. */
  record Outcome(long steps, Optional<Violation> violation) {}

  private FaultSchedule() {}

  /**
   * Runs a schedule until an invariant is violated or its duration has passed.
   *
   * @param injection injects a fault into the calls to the state machines, or does nothing
   * @param tracer receives the lines of the trace
   */
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
