package io.samphiregauge.verify;

import io.samphiregauge.core.config.KeyDigest;
import io.samphiregauge.core.order.Orders;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.config.BackendKind;
import io.samphiregauge.schema.config.Configuration;
import io.samphiregauge.schema.config.Team;
import io.samphiregauge.schema.config.Withdrawal;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.Note;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A deployment of five entries in three failure domains, with engines, services, log and network.
 */
final class SimulatedDeployment {
  static final String REGION = "luzon";
  static final String FLEET = "fleet/" + REGION;
  static final String USAGE = "usage/" + REGION;
  static final List<String> ROLES = List.of(FLEET, USAGE);
  static final String TEAM = "team-a";
  static final String FIRST_KEY = "key-0";
  private static final int VM_COUNT = 5;
  private static final int DOMAIN_COUNT = 3;
  private static final int ENGINE_COUNT = 4;

  final FaultSimulation simulation;
  final InjectionPoints injectionPoints;
  final SimulatedLog log;
  final SimulatedNetwork network;
  final SimulatedUsageInterface usageInterface;
  final List<SimulatedVm> vms = new ArrayList<>();
  final List<SimulatedEngine> engines = new ArrayList<>();
  final List<SimulatedService> services = new ArrayList<>();
  private final Map<String, SimulatedOrderTarget> targets = new HashMap<>();

  SimulatedDeployment(FaultSimulation simulation, InjectionPoints injectionPoints) {
    this.simulation = simulation;
    this.injectionPoints = injectionPoints;
    this.log = new SimulatedLog(simulation);
    this.network = new SimulatedNetwork(simulation);
    this.usageInterface = new SimulatedUsageInterface(simulation);
    for (int i = 0; i < VM_COUNT; i++) {
      vms.add(new SimulatedVm("vm" + i, "d" + i % DOMAIN_COUNT, this));
    }
    for (int i = 0; i < ENGINE_COUNT; i++) {
      engines.add(new SimulatedEngine("e" + i, i % 2 == 0, simulation));
    }
    for (SimulatedEngine engine : engines) {
      addTarget(
          engine.name,
          engine.checksFencingTokens
              ? SimulatedOrderTarget.Kind.CHECKS_TOKENS
              : SimulatedOrderTarget.Kind.IGNORES_TOKENS);
    }
    addTarget(Orders.PLATFORM, SimulatedOrderTarget.Kind.PLATFORM);
    services.add(new SimulatedService("s0", simulation));
    services.add(new SimulatedService("s1", simulation));
  }

  private void addTarget(String name, SimulatedOrderTarget.Kind kind) {
    targets.put(name, new SimulatedOrderTarget(name, kind, simulation, injectionPoints));
  }

  void start() {
    Note first = firstNote();
    log.appendImmediately(new LogRecord(new Incarnation("operator", 0, 0), 1, first));
    vms.forEach(SimulatedVm::start);
  }

  private Note firstNote() {
    List<Backend> backends =
        engines.stream()
            .map(
                engine ->
                    new Backend(
                        engine.name,
                        BackendKind.ENGINE,
                        engine.name + ":80",
                        "d0",
                        List.of(),
                        false,
                        engine.checksFencingTokens,
                        1_000))
            .toList();
    Team team = team(List.of(FIRST_KEY));
    return new Note(
        -1,
        "operator",
        new Configuration(List.of(team), List.of(), List.of(), backends),
        new Configuration(List.of(), List.of(), List.of(), List.of()),
        new Withdrawal(List.of(), List.of(), List.of(), List.of(), List.of()));
  }

  static Team team(List<String> keys) {
    List<String> digests = keys.stream().map(KeyDigest::of).toList();
    return new Team(TEAM, digests, List.of(), List.of(), 1);
  }

  Optional<SimulatedVm> vm(String name) {
    return vms.stream().filter(vm -> vm.name.equals(name)).findFirst();
  }

  Optional<SimulatedEngine> engine(String name) {
    return engines.stream().filter(engine -> engine.name.equals(name)).findFirst();
  }

  SimulatedOrderTarget target(String name) {
    return targets.get(name);
  }

  Optional<SimulatedVm> vmAtPeerAddress(String address) {
    return vms.stream().filter(vm -> vm.peerAddress().equals(address)).findFirst();
  }

  /** Reports to the invariants each role that more than one running process holds. */
  void observeRoleHolders() {
    for (String role : ROLES) {
      List<Incarnation> holders = List.of();
      for (SimulatedVm vm : vms) {
        Optional<SimulatedNode> holder =
            vm.runningNode().filter(node -> node.token(role).isPresent());
        if (holder.isPresent()) {
          holders = withHolder(holders, holder.get().self);
        }
      }
      if (holders.size() > 1) {
        simulation.observe(new Observation.RoleHolders(role, holders));
      }
    }
  }

  /** Reports to the invariants a piece that a process uses at the same time as another process. */
  void observeSharedPieces(SimulatedNode node) {
    Set<Integer> used = node.pieces.usedPieces();
    for (SimulatedVm vm : vms) {
      Optional<SimulatedNode> other = vm.runningNode().filter(candidate -> candidate != node);
      Set<Integer> otherPieces =
          other.map(candidate -> candidate.pieces.usedPieces()).orElseGet(Set::of);
      otherPieces.stream()
          .filter(used::contains)
          .findFirst()
          .ifPresent(
              piece ->
                  simulation.observe(
                      new Observation.PieceShared(piece, node.self, other.get().self)));
    }
  }

  private static List<Incarnation> withHolder(List<Incarnation> holders, Incarnation holder) {
    List<Incarnation> extended = new ArrayList<>(holders);
    extended.add(holder);
    return extended;
  }
}
