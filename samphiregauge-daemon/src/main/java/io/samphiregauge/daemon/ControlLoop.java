package io.samphiregauge.daemon;

import io.samphiregauge.core.Clock;
import io.samphiregauge.core.log.Fold;
import io.samphiregauge.core.log.FoldStep;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.peer.RecordAt;
import io.samphiregauge.schema.platform.RecordsPage;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * Owns the control state on one thread. Others post events and read the published snapshot; the
 * thread blocks while there is no event.
 */
final class ControlLoop implements AutoCloseable {
  private static final Logger LOG = System.getLogger(ControlLoop.class.getName());

  private final BlockingQueue<ControlEvent> events = new LinkedBlockingQueue<>();
  private final Clock clock;
  private final Thread thread;
  private volatile Snapshot snapshot = Snapshot.initial();

  private ControlLoop(Clock clock, String vm) {
    this.clock = clock;
    this.thread = new Thread(this::run, "control-" + vm);
  }

  static ControlLoop start(Clock clock, String vm) {
    ControlLoop loop = new ControlLoop(clock, vm);
    loop.thread.start();
    return loop;
  }

  /** Hands an event to the control thread; safe for all threads. */
  void post(ControlEvent event) {
    events.add(event);
  }

  /** Returns the newest published state; safe for all threads. */
  Snapshot snapshot() {
    return snapshot;
  }

  @Override
  public void close() {
    post(new ControlEvent.Stop());
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      while (true) {
        ControlEvent event = events.take();
        if (event instanceof ControlEvent.Stop) {
          return;
        }
        handle(event);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void handle(ControlEvent event) {
    if (event instanceof ControlEvent.PageRead read) {
      fold(read.page());
      return;
    }
    if (event instanceof ControlEvent.LogUnreachable lost) {
      LOG.log(Level.WARNING, "event=log_unreachable reason=\"{0}\"", lost.failure().message());
    }
  }

  private void fold(RecordsPage page) {
    FoldedState state = snapshot.state();
    for (RecordAt at : page.getRecords()) {
      FoldStep step = Fold.apply(state, at.getOffset(), at.getRecord());
      step.rejection()
          .ifPresent(
              failure ->
                  LOG.log(
                      Level.INFO,
                      "event=record_ignored offset={0} reason=\"{1}\"",
                      at.getOffset(),
                      failure.message()));
      state = step.state();
    }
    boolean caughtUp = state.upToOffset() + 1 >= page.getNextOffset();
    snapshot = new Snapshot(state, clock.nowMs(), snapshot.ready() || caughtUp);
  }
}
