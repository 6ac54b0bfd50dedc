package io.samphiregauge.verify;

import io.samphiregauge.core.DualTimestamp;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Simulates a VM with its clock and the process on it, which may be paused or not running. */
final class SimulatedVm {
  /** Maximum relative error of a clock rate; it must stay below the margin of the leases, 5%. */
  private static final double MAX_CLOCK_RATE_ERROR = 0.049;

  private static final long RESTART_MS = 300;

  /** Time of day at the start of a schedule: the first usage window ends 12 s later. */
  private static final long INITIAL_WALL_MS = 48_000;

  final String name;
  final String domain;
  private final SimulatedDeployment deployment;
  private final double clockRate;
  private final long clockOriginMs;
  private final List<Runnable> deferredTasks = new ArrayList<>();

  /** Appends are stored, but no response of the log arrives. */
  static final boolean APPENDS_ONLY = true;

  /** The log can be read, but appends are lost. */
  static final boolean READS_ONLY = false;

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

  /** Returns the monotonic clock time of this VM, in milliseconds. */
  long clockMs() {
    return clockOriginMs + (long) (deployment.simulation.nowMs() * clockRate);
  }

  /**
   * Returns the time on both clocks of this VM. They have the same rate error, because the same
   * time source corrects both.
   */
  DualTimestamp now() {
    return new DualTimestamp(clockMs(), INITIAL_WALL_MS + clockMs());
  }

  /**
   * Returns the time of day. All VMs have the same, as they agree closely enough for usage windows.
   */
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

  /** Returns the process unless it is paused or not running. */
  Optional<SimulatedNode> runningNode() {
    return paused ? Optional.empty() : node;
  }

  /** Returns whether responses of the log reach this VM. */
  boolean receivesFromLog() {
    return logReadable;
  }

  /** Returns whether appends of this VM reach the log. */
  boolean canAppendToLog() {
    return appendsDelivered;
  }

  /**
   * Returns the virtual time of the last fault of this VM, its process or its connection to the
   * log, or {@code Long.MAX_VALUE} during a fault.
   */
  long faultFreeSinceMs() {
    boolean faulty =
        paused || node.isEmpty() || !logReadable || !appendsDelivered || deployment.log.isDown();
    return faulty ? Long.MAX_VALUE : Math.max(faultFreeSinceMs, deployment.log.lastStateChangeMs());
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

  /** Connects this VM to the log or disconnects it, in both directions. */
  void setLogReachable(boolean reachable) {
    deployment.simulation.trace(
        () -> name + (reachable ? " reaches" : " does not reach") + " the log");
    logReadable = reachable;
    appendsDelivered = reachable;
    resetFaultFreeTime();
  }

  /**
   * Cuts one direction of the connection to the log.
   *
   * @param onlyAppends {@link #APPENDS_ONLY} or {@link #READS_ONLY}
   */
  void setOneWayLog(boolean onlyAppends) {
    setLogReachable(!onlyAppends);
    appendsDelivered = onlyAppends;
  }

  /**
   * Runs a task in a process: after the end of a pause, or not at all if the process has
   * terminated.
   */
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
