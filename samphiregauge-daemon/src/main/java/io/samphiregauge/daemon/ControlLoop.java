package io.samphiregauge.daemon;

import io.samphiregauge.core.Clock;
import io.samphiregauge.core.DualTimestamp;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.core.control.Coordinator;
import io.samphiregauge.core.control.CoordinatorAction;
import io.samphiregauge.core.control.CoordinatorConfig;
import io.samphiregauge.core.control.CoordinatorEvent;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs the coordinator on a single control thread, which is the only one that changes control
 * state. Other threads post events and read the published snapshot. The control thread blocks until
 * an event arrives or the coordinator's next deadline passes.
 */
final class ControlLoop implements AutoCloseable {
  /**
   * Minimum wait between ticks; without it, a deadline that stays in the past causes a busy loop.
   */
  private static final long MIN_WAIT_MS = 5;

  private final BlockingQueue<QueuedEvent> queue = new LinkedBlockingQueue<>();
  private final Clock clock;
  private final RandomSource random;
  private final Thread thread;
  private final CoordinatorConfig config;
  private final Consumer<CoordinatorAction> actionHandler;
  private volatile ControlSnapshot snapshot = ControlSnapshot.initial();

  /**
   * An event to process and a task to run once its effect is published; an empty event stops the
   * loop.
   */
  private record QueuedEvent(Optional<CoordinatorEvent> event, Runnable afterPublish) {}

  ControlLoop(
      Clock clock,
      RandomSource random,
      CoordinatorConfig config,
      Consumer<CoordinatorAction> actionHandler) {
    this.clock = clock;
    this.random = random;
    this.config = config;
    this.actionHandler = actionHandler;
    this.thread = new Thread(this::run, "control-" + config.self().getVm());
  }

  void start() {
    thread.start();
  }

  /** Queues an event for the control thread; may be called from any thread. */
  void post(CoordinatorEvent event) {
    post(event, () -> {});
  }

  /**
   * Queues an event and runs a task on the control thread once the resulting snapshot is published;
   * may be called from any thread.
   */
  void post(CoordinatorEvent event, Runnable afterPublish) {
    queue.add(new QueuedEvent(Optional.of(event), afterPublish));
  }

  /** Returns the latest published snapshot; may be called from any thread. */
  ControlSnapshot snapshot() {
    return snapshot;
  }

  @Override
  public void close() {
    queue.add(new QueuedEvent(Optional.empty(), () -> {}));
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    QueuedEvent tick = new QueuedEvent(Optional.of(new CoordinatorEvent.Tick()), () -> {});
    try {
      Coordinator coordinator = Coordinator.create(config, now());
      while (true) {
        QueuedEvent queued = awaitNext(coordinator).orElse(tick);
        if (queued.event().isEmpty()) {
          return;
        }
        coordinator = process(coordinator, queued);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Optional<QueuedEvent> awaitNext(Coordinator coordinator) throws InterruptedException {
    long waitMs = Math.max(MIN_WAIT_MS, coordinator.deadlineMs(now()) - clock.nowMs());
    return Optional.ofNullable(queue.poll(waitMs, TimeUnit.MILLISECONDS));
  }

  private Coordinator process(Coordinator coordinator, QueuedEvent queued) {
    Step<Coordinator, CoordinatorAction> step =
        coordinator.handle(queued.event().orElseThrow(), now(), random);
    snapshot = snapshot.advance(step.state());
    step.actions().forEach(actionHandler);
    queued.afterPublish().run();
    return step.state();
  }

  /** Returns the current time; may be called from any thread. */
  DualTimestamp now() {
    return new DualTimestamp(clock.nowMs(), System.currentTimeMillis());
  }
}
