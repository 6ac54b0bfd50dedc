package io.samphiregauge.verify;

import java.util.function.Consumer;

/** Simulates a plain service whose requests are not idempotent and whose responses may be lost. */
final class SimulatedService {
  final String name;
  private final FaultSimulation simulation;
  private boolean up = true;
  private double responseLossProbability;

  SimulatedService(String name, FaultSimulation simulation) {
    this.name = name;
    this.simulation = simulation;
  }

  /** Returns whether a connection can be opened. */
  boolean isUp() {
    return up;
  }

  void setUp(boolean isUp) {
    up = isUp;
  }

  void setResponseLossProbability(double probability) {
    responseLossProbability = probability;
  }

  /**
   * Sends a request to the service, which runs it if it is up; the response is the request name.
   */
  void write(String request, String ticket, Consumer<String> callback) {
    simulation.schedule(
        simulation.random.between(1, 200),
        () -> {
          if (!up) {
            return;
          }
          simulation.trace(() -> "%s runs %s under %s".formatted(name, request, ticket));
          simulation.observe(new Observation.ServiceRun(request, ticket));
          if (!simulation.random.chance(responseLossProbability)) {
            simulation.schedule(simulation.random.between(1, 100), () -> callback.accept(request));
          }
        });
  }
}
