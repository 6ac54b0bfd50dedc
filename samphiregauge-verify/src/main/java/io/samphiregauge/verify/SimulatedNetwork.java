package io.samphiregauge.verify;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Simulates the network between entries, which loses, delays, duplicates and reorders messages and
 * can be partitioned.
 */
final class SimulatedNetwork {
  private static final long MAX_DELAY_MS = 15;
  private static final long MAX_SLOW_DELAY_MS = 600;

  private final FaultSimulation simulation;
  private final Set<String> minority = new HashSet<>();
  private double lossProbability;
  private double duplicateProbability;
  private double slowProbability;

  SimulatedNetwork(FaultSimulation simulation) {
    this.simulation = simulation;
  }

  void setLossProbability(double probability) {
    lossProbability = probability;
  }

  void setDuplicateProbability(double probability) {
    duplicateProbability = probability;
  }

  void setSlowProbability(double probability) {
    slowProbability = probability;
  }

  /**
   * Partitions the network between the given VMs and all others; an empty set heals the partition.
   */
  void partition(Set<String> vms) {
    minority.clear();
    minority.addAll(vms);
  }

  boolean isPartitioned() {
    return !minority.isEmpty();
  }

  boolean isConnected(String from, String to) {
    return minority.contains(from) == minority.contains(to);
  }

  /** Sends a message, which is delivered at most twice and in no particular order. */
  void send(SimulatedVm from, SimulatedVm to, Consumer<SimulatedNode> delivery) {
    if (!isConnected(from.name, to.name) || simulation.random.chance(lossProbability)) {
      return;
    }
    deliver(from, to, delivery);
    if (simulation.random.chance(duplicateProbability)) {
      deliver(from, to, delivery);
    }
  }

  private void deliver(SimulatedVm from, SimulatedVm to, Consumer<SimulatedNode> delivery) {
    long maxDelayMs = simulation.random.chance(slowProbability) ? MAX_SLOW_DELAY_MS : MAX_DELAY_MS;
    simulation.schedule(
        simulation.random.between(1, maxDelayMs),
        () -> {
          if (isConnected(from.name, to.name)) {
            to.node().ifPresent(node -> to.runInNode(node, () -> delivery.accept(node)));
          }
        });
  }
}
