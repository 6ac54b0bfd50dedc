package io.samphiregauge.verify;

import io.samphiregauge.core.config.KeyDigest;

/** The traffic side of a process. */
final class NodeTraffic {
  private final Node node;
  private final Deployment deployment;
  final NodeTickets tickets;
  final NodeSuspicion suspicion;

  NodeTraffic(Node node, Deployment deployment) {
    this.node = node;
    this.deployment = deployment;
    this.tickets = new NodeTickets(node, deployment);
    this.suspicion = new NodeSuspicion(node, deployment);
  }

  void tick() {
    suspicion.tick();
  }

  void die() {
    suspicion.die();
  }

  /** Tells whether a keyed request may run here. */
  boolean admits(String key) {
    boolean admitted =
        node.isFresh() && node.state().config().teamOfKey(KeyDigest.of(key)).isPresent();
    if (admitted) {
      deployment.world.observe(
          new Observation.KeyAccepted(
              node.self, key, deployment.world.nowMs(), node.vm.undisturbedSinceMs()));
    }
    return admitted;
  }
}
