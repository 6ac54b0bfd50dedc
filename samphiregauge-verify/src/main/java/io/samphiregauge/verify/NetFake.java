package io.samphiregauge.verify;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/** The network between entries: it drops, delays, duplicates, reorders and partitions. */
final class NetFake {
  private static final long HOP_MS = 15;
  private static final long SLOW_HOP_MS = 600;

  private final World world;
  private final Set<String> minority = new HashSet<>();
  private double loss;
  private double duplicates;
  private double slow;

  NetFake(World world) {
    this.world = world;
  }

  void setLoss(double probability) {
    loss = probability;
  }

  void setDuplicates(double probability) {
    duplicates = probability;
  }

  void setSlow(double probability) {
    slow = probability;
  }

  /** Separates some VMs from the others. */
  void partition(Set<String> vms) {
    minority.clear();
    minority.addAll(vms);
  }

  boolean isPartitioned() {
    return !minority.isEmpty();
  }

  boolean connects(String from, String to) {
    return minority.contains(from) == minority.contains(to);
  }

  /** Delivers a message never, once or twice, in any order. */
  void send(Vm from, Vm to, Consumer<Node> delivery) {
    if (!connects(from.name, to.name) || world.random.chance(loss)) {
      return;
    }
    deliver(from, to, delivery);
    if (world.random.chance(duplicates)) {
      deliver(from, to, delivery);
    }
  }

  private void deliver(Vm from, Vm to, Consumer<Node> delivery) {
    long longest = world.random.chance(slow) ? SLOW_HOP_MS : HOP_MS;
    world.in(
        world.random.between(1, longest),
        () -> {
          if (connects(from.name, to.name)) {
            to.node().ifPresent(node -> to.inProcess(node, () -> delivery.accept(node)));
          }
        });
  }
}
