package io.samphiregauge.verify;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A VM: its clock, and the process on it, which may be paused or absent. */
final class Vm {
  /** Clocks differ by up to 4.9% from the true rate; the margin of the leases is 5%. */
  private static final double MAX_RATE_ERROR = 0.049;

  private static final long RESTART_MS = 300;

  /** A usage window ends 12 s after the start of a schedule. */
  private static final long FIRST_WALL_MS = 48_000;

  final String name;
  final String domain;
  private final Deployment deployment;
  private final double rate;
  private final long origin;
  private final List<Runnable> backlog = new ArrayList<>();
  private Optional<Node> node = Optional.empty();
  private boolean paused;
  private boolean logReachable = true;
  private boolean appendsPass = true;
  private long undisturbedSinceMs;

  Vm(String name, String domain, Deployment deployment) {
    Seeded random = deployment.world.random;
    this.name = name;
    this.domain = domain;
    this.deployment = deployment;
    this.rate = 1 + MAX_RATE_ERROR * (2 * random.nextDouble() - 1);
    this.origin = random.between(0, 1_000_000);
  }

  /** Returns the time on the clock of this VM. */
  long clockMs() {
    return origin + (long) (deployment.world.nowMs() * rate);
  }

  /** Returns the time of day, which the VMs agree on well enough for usage windows. */
  long wallMs() {
    return FIRST_WALL_MS + deployment.world.nowMs();
  }

  String httpAddress() {
    return name + ":80";
  }

  String peerAddress() {
    return name + ":90";
  }

  Optional<Node> node() {
    return node;
  }

  /** Returns the process where it can act now. */
  Optional<Node> running() {
    return paused ? Optional.empty() : node;
  }

  /** Tells whether answers of the log come through. */
  boolean reachesLog() {
    return logReachable;
  }

  /** Tells whether appends come through. */
  boolean writesLog() {
    return appendsPass;
  }

  /** Tells since when neither the VM, its process nor its network had a fault. */
  long undisturbedSinceMs() {
    boolean disturbed =
        paused || node.isEmpty() || !logReachable || !appendsPass || deployment.log.isDown();
    return disturbed ? Long.MAX_VALUE : Math.max(undisturbedSinceMs, deployment.log.upSinceMs());
  }

  void disturb() {
    undisturbedSinceMs = deployment.world.nowMs();
  }

  void start() {
    if (node.isPresent()) {
      return;
    }
    disturb();
    Node next = new Node(this, deployment);
    node = Optional.of(next);
    next.start();
  }

  void kill() {
    deployment.world.trace(() -> name + " killed");
    node.ifPresent(Node::die);
    node = Optional.empty();
    backlog.clear();
    paused = false;
  }

  void restart() {
    kill();
    deployment.world.in(RESTART_MS, this::start);
  }

  void pause(long forMs) {
    if (paused || node.isEmpty()) {
      return;
    }
    deployment.world.trace(() -> name + " paused for " + forMs + " ms");
    paused = true;
    Optional<Node> stopped = node;
    deployment.world.in(
        forMs,
        () -> {
          if (paused && node.equals(stopped)) {
            resume();
          }
        });
  }

  void setLogReachable(boolean reachable) {
    deployment.world.trace(() -> name + (reachable ? " reaches" : " does not reach") + " the log");
    logReachable = reachable;
    appendsPass = reachable;
    disturb();
  }

  /** Cuts one direction off: appends are stored unheard, or the log can be read only. */
  void setOneWayLog(boolean onlyAppends) {
    setLogReachable(!onlyAppends);
    appendsPass = onlyAppends;
  }

  /** Runs something in a process: after its pause, and not at all once it has ended. */
  void inProcess(Node process, Runnable what) {
    if (node.isEmpty() || node.get() != process) {
      return;
    }
    if (paused) {
      backlog.add(() -> inProcess(process, what));
      return;
    }
    what.run();
  }

  private void resume() {
    deployment.world.trace(() -> name + " resumes");
    paused = false;
    disturb();
    List<Runnable> waiting = new ArrayList<>(backlog);
    backlog.clear();
    waiting.forEach(Runnable::run);
  }
}
