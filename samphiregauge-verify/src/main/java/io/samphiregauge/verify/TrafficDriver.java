package io.samphiregauge.verify;

import io.samphiregauge.core.config.KeyDigest;

/** The traffic side of a process. */
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

  /** Tells whether a keyed request may run here. */
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
