package io.samphiregauge.verify;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** A model engine: runs requests and crashes on some of them. */
final class EngineFake {
  private static final long RESTART_MS = 1_000;

  /** What becomes of a request. */
  enum Progress {
    PROVEN,
    FINISHED,
    CRASHED
  }

  private record Running(EngineCall call, Consumer<Progress> listener) {}

  final String name;
  final boolean checksFencing;
  private final World world;
  private final List<Running> running = new ArrayList<>();
  private boolean up = true;
  private Optional<Long> leavingSinceMs = Optional.empty();

  EngineFake(String name, boolean checksFencing, World world) {
    this.name = name;
    this.checksFencing = checksFencing;
    this.world = world;
  }

  boolean isUp() {
    return up;
  }

  Optional<Long> leavingSinceMs() {
    return leavingSinceMs;
  }

  void setLeaving(boolean leaving) {
    leavingSinceMs = leaving ? Optional.of(world.nowMs()) : Optional.empty();
  }

  /** Starts a request; the caller hears of its progress unless the engine is down. */
  void start(EngineCall call, Consumer<Progress> listener) {
    if (!up) {
      world.in(1, () -> listener.accept(Progress.CRASHED));
      return;
    }
    Running entry = new Running(call, listener);
    running.add(entry);
    if (call.crashes()) {
      world.in(world.random.between(20, 150), () -> crashBy(entry));
      return;
    }
    world.in(world.random.between(100, 400), () -> tell(entry, Progress.PROVEN));
    world.in(world.random.between(400, 1_500), () -> finish(entry));
  }

  void crash(String cause) {
    if (!up) {
      return;
    }
    world.trace(() -> name + " crashes: " + cause);
    up = false;
    List<Running> lost = List.copyOf(running);
    running.clear();
    lost.forEach(
        entry ->
            world.in(world.random.between(1, 50), () -> entry.listener().accept(Progress.CRASHED)));
    world.in(RESTART_MS, () -> up = true);
  }

  private void crashBy(Running entry) {
    if (running.contains(entry)) {
      world.observe(
          new Observation.Crash(entry.call().fingerprint(), name, entry.call().excused()));
      crash(entry.call().fingerprint());
    }
  }

  private void tell(Running entry, Progress progress) {
    if (running.contains(entry)) {
      entry.listener().accept(progress);
    }
  }

  private void finish(Running entry) {
    if (running.remove(entry)) {
      entry.listener().accept(Progress.FINISHED);
    }
  }
}
