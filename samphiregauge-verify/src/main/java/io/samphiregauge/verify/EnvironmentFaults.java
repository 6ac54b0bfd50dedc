package io.samphiregauge.verify;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Injects faults into the simulated environment of the state machines; each fault ends on its own.
 */
final class EnvironmentFaults {
  private static final int MIN_FAULTS = 2;
  private static final int MAX_FAULTS = 6;
  private static final long EARLIEST_START_MS = 1_000;
  private static final long LATEST_START_MS = 30_000;
  private static final double SIMULTANEOUS_PROBABILITY = 0.3;

  /** A kind of fault, with the name that traces show. */
  record Kind(String name, Consumer<SimulatedDeployment> inject) {}

  static final List<Kind> ALL =
      List.of(
          new Kind("kill", deployment -> pickVm(deployment).restart()),
          new Kind("kill_domain", EnvironmentFaults::killDomain),
          new Kind("pause", deployment -> pickVm(deployment).pause(randomDurationMs(deployment))),
          new Kind(
              "long_pause", deployment -> pickVm(deployment).pause(randomLongPauseMs(deployment))),
          new Kind("log_down", EnvironmentFaults::logDown),
          new Kind("log_lost_answers", EnvironmentFaults::logResponseLoss),
          new Kind("log_late_appends", EnvironmentFaults::logLateAppends),
          new Kind("log_out_of_reach", EnvironmentFaults::logUnreachable),
          new Kind("log_flaps", EnvironmentFaults::logFlaps),
          new Kind("log_one_way", EnvironmentFaults::logOneWay),
          new Kind("partition", EnvironmentFaults::partition),
          new Kind("loss", EnvironmentFaults::networkLoss),
          new Kind("slow_and_twice", EnvironmentFaults::slowAndDuplicated),
          new Kind("service_down", EnvironmentFaults::serviceDown),
          new Kind("service_lost_answers", EnvironmentFaults::serviceResponseLoss));

  private EnvironmentFaults() {}

  /**
   * Schedules randomly chosen faults at random times. Some are simultaneous, and a kind may repeat.
   */
  static void schedule(SimulatedDeployment deployment) {
    SeededRandom random = deployment.simulation.random;
    long count = random.between(MIN_FAULTS, MAX_FAULTS);
    long atMs = 0;
    for (int i = 0; i < count; i++) {
      boolean simultaneous = i > 0 && random.chance(SIMULTANEOUS_PROBABILITY);
      atMs =
          simultaneous
              ? atMs + random.between(0, 20)
              : random.between(EARLIEST_START_MS, LATEST_START_MS);
      Kind kind = random.pick(ALL);
      deployment.simulation.schedule(
          atMs,
          () -> {
            deployment.simulation.trace(() -> "FAULT " + kind.name());
            kind.inject().accept(deployment);
          });
    }
  }

  /**
   * Picks a VM for a fault. With probability 0.5 it is one whose process holds a lease, since
   * faults on other VMs rarely affect a lease holder.
   */
  private static SimulatedVm pickVm(SimulatedDeployment deployment) {
    SeededRandom random = deployment.simulation.random;
    String role = random.pick(SimulatedDeployment.ROLES);
    List<SimulatedVm> holders =
        deployment.vms.stream()
            .filter(vm -> vm.runningNode().filter(node -> node.token(role).isPresent()).isPresent())
            .toList();
    return random.chance(0.5) && !holders.isEmpty()
        ? random.pick(holders)
        : random.pick(deployment.vms);
  }

  private static long randomDurationMs(SimulatedDeployment deployment) {
    return deployment.simulation.random.between(200, 16_000);
  }

  /** Returns a duration longer than the time it takes to record the end of a process. */
  private static long randomLongPauseMs(SimulatedDeployment deployment) {
    return deployment.simulation.random.between(26_000, 36_000);
  }

  private static void killDomain(SimulatedDeployment deployment) {
    String domain = pickVm(deployment).domain;
    deployment.vms.stream().filter(vm -> vm.domain.equals(domain)).forEach(SimulatedVm::restart);
  }

  private static void logDown(SimulatedDeployment deployment) {
    deployment.log.setDown(true);
    deployment.simulation.schedule(
        randomDurationMs(deployment), () -> deployment.log.setDown(false));
  }

  private static void logResponseLoss(SimulatedDeployment deployment) {
    deployment.log.setResponseLossProbability(0.5);
    deployment.simulation.schedule(
        randomDurationMs(deployment), () -> deployment.log.setResponseLossProbability(0));
  }

  private static void logLateAppends(SimulatedDeployment deployment) {
    deployment.log.setLateAppendProbability(0.5);
    deployment.simulation.schedule(
        randomDurationMs(deployment), () -> deployment.log.setLateAppendProbability(0));
  }

  private static void logUnreachable(SimulatedDeployment deployment) {
    SimulatedVm vm = pickVm(deployment);
    vm.setLogReachable(false);
    deployment.simulation.schedule(randomDurationMs(deployment), () -> vm.setLogReachable(true));
  }

  /**
   * Disconnects a VM from the log for 2 to 7 s, reconnects it for 20 to 300 ms, which suffices to
   * read the log but possibly not to append, and then disconnects it for a random time.
   */
  private static void logFlaps(SimulatedDeployment deployment) {
    SimulatedVm vm = pickVm(deployment);
    long initialMs = deployment.simulation.random.between(2_000, 7_000);
    long reachableMs = deployment.simulation.random.between(20, 300);
    vm.setLogReachable(false);
    deployment.simulation.schedule(initialMs, () -> vm.setLogReachable(true));
    deployment.simulation.schedule(initialMs + reachableMs, () -> vm.setLogReachable(false));
    deployment.simulation.schedule(
        initialMs + reachableMs + randomDurationMs(deployment), () -> vm.setLogReachable(true));
  }

  /**
   * Delivers the appends of a VM but none of the log's responses for 2 to 7 s; then, for a random
   * time, lets the VM read the log while its appends are lost.
   */
  private static void logOneWay(SimulatedDeployment deployment) {
    SimulatedVm vm = pickVm(deployment);
    long initialMs = deployment.simulation.random.between(2_000, 7_000);
    vm.setOneWayLog(SimulatedVm.APPENDS_ONLY);
    deployment.simulation.schedule(initialMs, () -> vm.setOneWayLog(SimulatedVm.READS_ONLY));
    deployment.simulation.schedule(
        initialMs + randomDurationMs(deployment), () -> vm.setLogReachable(true));
  }

  private static void partition(SimulatedDeployment deployment) {
    Set<String> minority = new HashSet<>();
    minority.add(pickVm(deployment).name);
    minority.add(pickVm(deployment).name);
    deployment.network.partition(minority);
    deployment.simulation.schedule(
        randomDurationMs(deployment), () -> deployment.network.partition(Set.of()));
  }

  private static void networkLoss(SimulatedDeployment deployment) {
    deployment.network.setLossProbability(0.3);
    deployment.simulation.schedule(
        randomDurationMs(deployment), () -> deployment.network.setLossProbability(0));
  }

  private static void slowAndDuplicated(SimulatedDeployment deployment) {
    deployment.network.setSlowProbability(0.3);
    deployment.network.setDuplicateProbability(0.3);
    deployment.simulation.schedule(
        randomDurationMs(deployment),
        () -> {
          deployment.network.setSlowProbability(0);
          deployment.network.setDuplicateProbability(0);
        });
  }

  private static void serviceDown(SimulatedDeployment deployment) {
    SimulatedService service = deployment.simulation.random.pick(deployment.services);
    service.setUp(false);
    deployment.simulation.schedule(randomDurationMs(deployment), () -> service.setUp(true));
  }

  private static void serviceResponseLoss(SimulatedDeployment deployment) {
    SimulatedService service = deployment.simulation.random.pick(deployment.services);
    service.setResponseLossProbability(0.5);
    deployment.simulation.schedule(
        randomDurationMs(deployment), () -> service.setResponseLossProbability(0));
  }
}
