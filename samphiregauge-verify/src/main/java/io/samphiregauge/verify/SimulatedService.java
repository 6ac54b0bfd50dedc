package io.samphiregauge.verify;

import java.util.function.Consumer;

/** A plain service whose calls must not be repeated; its answers may be lost. */
final class SimulatedService {
  final String name;
  private final FaultSimulation simulation;
  private boolean up = true;
  private double responseLossProbability;

  SimulatedService(String name, FaultSimulation simulation) {
    this.name = name;
    this.simulation = simulation;
  }

  /** Tells whether a connection can be opened. */
  boolean isUp() {
    return up;
  }

  void setUp(boolean isUp) {
    up = isUp;
  }

  void setResponseLossProbability(double probability) {
    responseLossProbability = probability;
  }

  /** Runs a request that was written to it; the answer is the name of the request. */
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
