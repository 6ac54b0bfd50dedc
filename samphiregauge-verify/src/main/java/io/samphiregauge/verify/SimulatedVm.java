package io.samphiregauge.verify;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A VM: its clock, and the process on it, which may be paused or absent. */
final class SimulatedVm {
  /** Clocks differ by up to 4.9% from the true rate; the margin of the leases is 5%. */
  private static final double MAX_CLOCK_RATE_ERROR = 0.049;

  private static final long RESTART_MS = 300;

  /** A usage window ends 12 s after the start of a schedule. */
  private static final long INITIAL_WALL_MS = 48_000;

  final String name;
  final String domain;
  private final SimulatedDeployment deployment;
  private final double clockRate;
  private final long clockOriginMs;
  private final List<Runnable> deferredTasks = new ArrayList<>();
  private Optional<SimulatedNode> node = Optional.empty();
  private boolean paused;
  private boolean logReadable = true;
  private boolean appendsDelivered = true;
  private long faultFreeSinceMs;

  SimulatedVm(String name, String domain, SimulatedDeployment deployment) {
    SeededRandom random = deployment.simulation.random;
    this.name = name;
    this.domain = domain;
    this.deployment = deployment;
    this.clockRate = 1 + MAX_CLOCK_RATE_ERROR * (2 * random.nextDouble() - 1);
    this.clockOriginMs = random.between(0, 1_000_000);
  }

  /** Returns the time on the clock of this VM. */
  long clockMs() {
    return clockOriginMs + (long) (deployment.simulation.nowMs() * clockRate);
  }

  /** Returns the time of day, which the VMs agree on well enough for usage windows. */
  long wallMs() {
    return INITIAL_WALL_MS + deployment.simulation.nowMs();
  }

  String httpAddress() {
    return name + ":80";
  }

  String peerAddress() {
    return name + ":90";
  }

  Optional<SimulatedNode> node() {
    return node;
  }

  /** Returns the process where it can act now. */
  Optional<SimulatedNode> runningNode() {
    return paused ? Optional.empty() : node;
  }

  /** Tells whether answers of the log come through. */
  boolean receivesFromLog() {
    return logReadable;
  }

  /** Tells whether appends come through. */
  boolean canAppendToLog() {
    return appendsDelivered;
  }

  /** Tells since when neither the VM, its process nor its network had a fault. */
  long faultFreeSinceMs() {
    boolean faulty =
        paused || node.isEmpty() || !logReadable || !appendsDelivered || deployment.log.isDown();
    return faulty ? Long.MAX_VALUE : Math.max(faultFreeSinceMs, deployment.log.lastOutageEndMs());
  }

  void resetFaultFreeTime() {
    faultFreeSinceMs = deployment.simulation.nowMs();
  }

  void start() {
    if (node.isPresent()) {
      return;
    }
    resetFaultFreeTime();
    SimulatedNode started = new SimulatedNode(this, deployment);
    node = Optional.of(started);
    started.start();
  }

  void kill() {
    deployment.simulation.trace(() -> name + " killed");
    node.ifPresent(SimulatedNode::terminate);
    node = Optional.empty();
    deferredTasks.clear();
    paused = false;
  }

  void restart() {
    kill();
    deployment.simulation.schedule(RESTART_MS, this::start);
  }

  void pause(long durationMs) {
    if (paused || node.isEmpty()) {
      return;
    }
    deployment.simulation.trace(() -> name + " paused for " + durationMs + " ms");
    paused = true;
    Optional<SimulatedNode> pausedNode = node;
    deployment.simulation.schedule(
        durationMs,
        () -> {
          if (paused && node.equals(pausedNode)) {
            resume();
          }
        });
  }

  void setLogReachable(boolean reachable) {
    deployment.simulation.trace(
        () -> name + (reachable ? " reaches" : " does not reach") + " the log");
    logReadable = reachable;
    appendsDelivered = reachable;
    resetFaultFreeTime();
  }

  /** Cuts one direction off: appends are stored unheard, or the log can be read only. */
  void setOneWayLog(boolean onlyAppends) {
    setLogReachable(!onlyAppends);
    appendsDelivered = onlyAppends;
  }

  /** Runs something in a process: after its pause, and not at all once it has ended. */
  void runInNode(SimulatedNode target, Runnable task) {
    if (node.isEmpty() || node.get() != target) {
      return;
    }
    if (paused) {
      deferredTasks.add(() -> runInNode(target, task));
      return;
    }
    task.run();
  }

  private void resume() {
    deployment.simulation.trace(() -> name + " resumes");
    paused = false;
    resetFaultFreeTime();
    List<Runnable> tasks = new ArrayList<>(deferredTasks);
    deferredTasks.clear();
    tasks.forEach(Runnable::run);
  }
}
