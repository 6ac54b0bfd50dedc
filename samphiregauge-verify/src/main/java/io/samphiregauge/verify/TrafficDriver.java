package io.samphiregauge.verify;

import io.samphiregauge.core.config.KeyDigest;

/** Handles the traffic of one process: requests to plain services and to model engines. */
final class TrafficDriver {
  private final SimulatedNode node;
  private final SimulatedDeployment deployment;
  final TicketDriver tickets;
  final SuspicionDriver suspicion;

  TrafficDriver(SimulatedNode node, SimulatedDeployment deployment) {
    this.node = node;
    this.deployment = deployment;
    this.tickets = new TicketDriver(node, deployment);
    this.suspicion = new SuspicionDriver(node, deployment);
  }

  void tick() {
    suspicion.tick();
  }

  void terminate() {
    suspicion.terminate();
  }

  /**
   * Returns whether a request with this key may run in this process, and reports an accepted key.
   */
  boolean admits(String key) {
    boolean admitted =
        node.isFresh() && node.state().config().teamOfKey(KeyDigest.of(key)).isPresent();
    if (admitted) {
      deployment.simulation.observe(
          new Observation.KeyAccepted(
              node.self, key, deployment.simulation.nowMs(), node.vm.faultFreeSinceMs()));
    }
    return admitted;
  }
}
