package io.samphiregauge.gateway.control;

import io.samphiregauge.core.DualTimestamp;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** Simulated time of several VMs, which can be suspended. Runs all tasks on the calling thread. */
final class SimulatedTime {
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::number));
  private long nowMs = 1_000_000;
  private long lastTaskNumber;

  private record Task(long atMs, long number, Vm vm, Runnable action) {}

  /** The clocks and the control thread of one VM. */
  final class Vm {
    private long suspendedMs;

    /** Returns the time of both clocks; the monotonic clock does not count suspensions. */
    DualTimestamp now() {
      return new DualTimestamp(nowMs - suspendedMs, nowMs);
    }

    ControlThread newControlThread() {
      return new ControlThread(this::execute);
    }

    /** Runs a task on this VM after a delay on its monotonic clock. */
    void execute(long delayMs, Runnable action) {
      tasks.add(new Task(nowMs + delayMs, ++lastTaskNumber, this, action));
    }

    /** Suspends this VM from now on: its tasks are delayed and its monotonic clock stops. */
    void suspend(long durationMs) {
      suspendedMs += durationMs;
      List<Task> all = new ArrayList<>(tasks);
      tasks.clear();
      for (Task task : all) {
        tasks.add(
            task.vm() == this
                ? new Task(task.atMs() + durationMs, task.number(), this, task.action())
                : task);
      }
    }
  }

  Vm newVm() {
    return new Vm();
  }

  long nowMs() {
    return nowMs;
  }

  /** Runs all tasks that are due within a duration. */
  void run(long durationMs) {
    long endMs = nowMs + durationMs;
    while (!tasks.isEmpty() && tasks.peek().atMs() <= endMs) {
      Task task = tasks.poll();
      nowMs = Math.max(nowMs, task.atMs());
      task.action().run();
    }
    nowMs = endMs;
  }
}
