package io.samphiregauge.daemon;

import io.samphiregauge.core.Clock;
import io.samphiregauge.core.RandomSource;
import io.samphiregauge.core.Step;
import io.samphiregauge.core.control.ClockReading;
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
 * Owns the control state on one thread. Others post events and read the published snapshot; the
 * thread blocks until there is an event or the coordinator needs a tick.
 */
final class ControlLoop implements AutoCloseable {
  /** Bounds how often ticks run, should a part of the coordinator stay due. */
  private static final long MIN_WAIT_MS = 5;

  private final BlockingQueue<QueuedEvent> queue = new LinkedBlockingQueue<>();
  private final Clock clock;
  private final RandomSource random;
  private final Thread thread;
  private final CoordinatorConfig config;
  private final Consumer<CoordinatorAction> actionHandler;
  private volatile ControlSnapshot snapshot = ControlSnapshot.initial();

  /** An event, or the end of the loop where there is none, and what to do afterwards. */
  private record QueuedEvent(Optional<CoordinatorEvent> event, Runnable afterPublish) {}

  ControlLoop(
      Clock clock,
      RandomSource random,
      CoordinatorConfig entrant,
      Consumer<CoordinatorAction> performer) {
    this.clock = clock;
    this.random = random;
    this.config = entrant;
    this.actionHandler = performer;
    this.thread = new Thread(this::run, "control-" + entrant.self().getVm());
  }

  void start() {
    thread.start();
  }

  /** Hands an event to the control thread; safe for all threads. */
  void post(CoordinatorEvent event) {
    post(event, () -> {});
  }

  /** Hands over an event, and runs a task once its effect is published; safe for all threads. */
  void post(CoordinatorEvent event, Runnable after) {
    queue.add(new QueuedEvent(Optional.of(event), after));
  }

  /** Returns the newest published state; safe for all threads. */
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
        QueuedEvent posted = awaitNext(coordinator).orElse(tick);
        if (posted.event().isEmpty()) {
          return;
        }
        coordinator = process(coordinator, posted);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Optional<QueuedEvent> awaitNext(Coordinator coordinator) throws InterruptedException {
    long waitMs = Math.max(MIN_WAIT_MS, coordinator.deadlineMs(now()) - clock.nowMs());
    return Optional.ofNullable(queue.poll(waitMs, TimeUnit.MILLISECONDS));
  }

  private Coordinator process(Coordinator coordinator, QueuedEvent posted) {
    Step<Coordinator, CoordinatorAction> step =
        coordinator.handle(posted.event().orElseThrow(), now(), random);
    snapshot = snapshot.advance(step.state());
    step.actions().forEach(actionHandler);
    posted.afterPublish().run();
    return step.state();
  }

  private ClockReading now() {
    return new ClockReading(clock.nowMs(), System.currentTimeMillis());
  }
}
