package io.samphiregauge.verify;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Simulates a model engine, which runs requests and crashes on some of them. */
final class SimulatedEngine {
  private static final long RESTART_MS = 1_000;

  /** Progress of a request; it is proven once it has run for long enough to count as harmless. */
  enum Progress {
    PROVEN,
    FINISHED,
    CRASHED
  }

  private record RunningCall(EngineCall call, Consumer<Progress> listener) {}

  final String name;
  final boolean checksFencingTokens;
  private final FaultSimulation simulation;
  private final List<RunningCall> running = new ArrayList<>();
  private boolean up = true;
  private Optional<Long> drainingSinceMs = Optional.empty();

  SimulatedEngine(String name, boolean checksFencingTokens, FaultSimulation simulation) {
    this.name = name;
    this.checksFencingTokens = checksFencingTokens;
    this.simulation = simulation;
  }

  boolean isUp() {
    return up;
  }

  Optional<Long> drainingSinceMs() {
    return drainingSinceMs;
  }

  void setDraining(boolean draining) {
    drainingSinceMs = draining ? Optional.of(simulation.nowMs()) : Optional.empty();
  }

  /**
   * Starts a request and reports its progress to the listener. If the engine is down, the request
   * is not started and the listener receives {@link Progress#CRASHED}.
   */
  void start(EngineCall call, Consumer<Progress> listener) {
    if (!up) {
      simulation.schedule(1, () -> listener.accept(Progress.CRASHED));
      return;
    }
    RunningCall runningCall = new RunningCall(call, listener);
    running.add(runningCall);
    if (call.crashes()) {
      simulation.schedule(simulation.random.between(20, 150), () -> crashOn(runningCall));
      return;
    }
    simulation.schedule(
        simulation.random.between(100, 400), () -> reportProgress(runningCall, Progress.PROVEN));
    simulation.schedule(simulation.random.between(400, 1_500), () -> finish(runningCall));
  }

  void crash(String cause) {
    if (!up) {
      return;
    }
    simulation.trace(() -> name + " crashes: " + cause);
    up = false;
    List<RunningCall> interrupted = List.copyOf(running);
    running.clear();
    interrupted.forEach(
        runningCall ->
            simulation.schedule(
                simulation.random.between(1, 50),
                () -> runningCall.listener().accept(Progress.CRASHED)));
    simulation.schedule(RESTART_MS, () -> up = true);
  }

  private void crashOn(RunningCall runningCall) {
    if (running.contains(runningCall)) {
      simulation.observe(
          new Observation.EngineCrash(
              runningCall.call().fingerprint(), name, runningCall.call().isExempt()));
      crash(runningCall.call().fingerprint());
    }
  }

  private void reportProgress(RunningCall runningCall, Progress progress) {
    if (running.contains(runningCall)) {
      runningCall.listener().accept(progress);
    }
  }

  private void finish(RunningCall runningCall) {
    if (running.remove(runningCall)) {
      runningCall.listener().accept(Progress.FINISHED);
    }
  }
}
