package io.samphiregauge.verify;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Faults of the outside; each ends by itself. */
final class Faults {
  private static final int FEWEST = 2;
  private static final int MOST = 6;
  private static final long FIRST_MS = 1_000;
  private static final long LAST_MS = 30_000;
  private static final double AT_ONCE = 0.3;

  /** A fault by name. */
  record Kind(String name, Consumer<Deployment> inject) {}

  static final List<Kind> ALL =
      List.of(
          new Kind("kill", deployment -> anyVm(deployment).restart()),
          new Kind("kill_domain", Faults::killDomain),
          new Kind("pause", deployment -> anyVm(deployment).pause(lastsMs(deployment))),
          new Kind("long_pause", deployment -> anyVm(deployment).pause(longMs(deployment))),
          new Kind("log_down", Faults::logDown),
          new Kind("log_lost_answers", Faults::lostAnswers),
          new Kind("log_late_appends", Faults::lateAppends),
          new Kind("log_out_of_reach", Faults::logOutOfReach),
          new Kind("log_flaps", Faults::logFlaps),
          new Kind("log_one_way", Faults::logOneWay),
          new Kind("partition", Faults::partition),
          new Kind("loss", Faults::loss),
          new Kind("slow_and_twice", Faults::slowAndTwice),
          new Kind("service_down", Faults::serviceDown),
          new Kind("service_lost_answers", Faults::serviceLostAnswers));

  private Faults() {}

  /** Draws faults and their times; some come at once, and one may come twice. */
  static void plan(Deployment deployment) {
    Seeded random = deployment.world.random;
    long count = random.between(FEWEST, MOST);
    long atMs = 0;
    for (int i = 0; i < count; i++) {
      boolean together = i > 0 && random.chance(AT_ONCE);
      atMs = together ? atMs + random.between(0, 20) : random.between(FIRST_MS, LAST_MS);
      Kind kind = random.pick(ALL);
      deployment.world.in(
          atMs,
          () -> {
            deployment.world.trace(() -> "FAULT " + kind.name());
            kind.inject().accept(deployment);
          });
    }
  }

  /** Every other fault is aimed at a holder of authority, since others are seldom in its way. */
  private static Vm anyVm(Deployment deployment) {
    Seeded random = deployment.world.random;
    String role = random.pick(Deployment.ROLES);
    List<Vm> holders =
        deployment.vms.stream()
            .filter(vm -> vm.running().filter(n -> n.token(role).isPresent()).isPresent())
            .toList();
    return random.chance(0.5) && !holders.isEmpty()
        ? random.pick(holders)
        : random.pick(deployment.vms);
  }

  private static long lastsMs(Deployment deployment) {
    return deployment.world.random.between(200, 16_000);
  }

  /** Longer than it takes to record the end of a process. */
  private static long longMs(Deployment deployment) {
    return deployment.world.random.between(26_000, 36_000);
  }

  private static void killDomain(Deployment deployment) {
    String domain = anyVm(deployment).domain;
    deployment.vms.stream().filter(vm -> vm.domain.equals(domain)).forEach(Vm::restart);
  }

  private static void logDown(Deployment deployment) {
    deployment.log.setDown(true);
    deployment.world.in(lastsMs(deployment), () -> deployment.log.setDown(false));
  }

  private static void lostAnswers(Deployment deployment) {
    deployment.log.setLostAnswers(0.5);
    deployment.world.in(lastsMs(deployment), () -> deployment.log.setLostAnswers(0));
  }

  private static void lateAppends(Deployment deployment) {
    deployment.log.setLateAppends(0.5);
    deployment.world.in(lastsMs(deployment), () -> deployment.log.setLateAppends(0));
  }

  private static void logOutOfReach(Deployment deployment) {
    Vm vm = anyVm(deployment);
    vm.setLogReachable(false);
    deployment.world.in(lastsMs(deployment), () -> vm.setLogReachable(true));
  }

  /** The log comes back for a moment, in which a process reads but may not be able to write. */
  private static void logFlaps(Deployment deployment) {
    Vm vm = anyVm(deployment);
    long firstMs = deployment.world.random.between(2_000, 7_000);
    long momentMs = deployment.world.random.between(20, 300);
    vm.setLogReachable(false);
    deployment.world.in(firstMs, () -> vm.setLogReachable(true));
    deployment.world.in(firstMs + momentMs, () -> vm.setLogReachable(false));
    deployment.world.in(firstMs + momentMs + lastsMs(deployment), () -> vm.setLogReachable(true));
  }

  /** Appends are stored unheard; later a process reads of them, but can append no more. */
  private static void logOneWay(Deployment deployment) {
    Vm vm = anyVm(deployment);
    long firstMs = deployment.world.random.between(2_000, 7_000);
    vm.setOneWayLog(true);
    deployment.world.in(firstMs, () -> vm.setOneWayLog(false));
    deployment.world.in(firstMs + lastsMs(deployment), () -> vm.setLogReachable(true));
  }

  private static void partition(Deployment deployment) {
    Set<String> minority = new HashSet<>();
    minority.add(anyVm(deployment).name);
    minority.add(anyVm(deployment).name);
    deployment.net.partition(minority);
    deployment.world.in(lastsMs(deployment), () -> deployment.net.partition(Set.of()));
  }

  private static void loss(Deployment deployment) {
    deployment.net.setLoss(0.3);
    deployment.world.in(lastsMs(deployment), () -> deployment.net.setLoss(0));
  }

  private static void slowAndTwice(Deployment deployment) {
    deployment.net.setSlow(0.3);
    deployment.net.setDuplicates(0.3);
    deployment.world.in(
        lastsMs(deployment),
        () -> {
          deployment.net.setSlow(0);
          deployment.net.setDuplicates(0);
        });
  }

  private static void serviceDown(Deployment deployment) {
    ServiceFake service = deployment.world.random.pick(deployment.services);
    service.setUp(false);
    deployment.world.in(lastsMs(deployment), () -> service.setUp(true));
  }

  private static void serviceLostAnswers(Deployment deployment) {
    ServiceFake service = deployment.world.random.pick(deployment.services);
    service.setLostAnswers(0.5);
    deployment.world.in(lastsMs(deployment), () -> service.setLostAnswers(0));
  }
}
