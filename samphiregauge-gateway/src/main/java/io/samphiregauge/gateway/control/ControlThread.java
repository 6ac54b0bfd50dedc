package io.samphiregauge.gateway.control;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.NetFailure;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The single thread that owns all control state. Other threads submit events to it; it blocks while
 * idle. An event that throws is logged and does not affect later events.
 */
public final class ControlThread implements AutoCloseable {
  private static final Logger LOG = System.getLogger(ControlThread.class.getName());

  private final DelayedExecutor executor;
  private final Runnable closer;

  /** Runs tasks one at a time, each after a delay. */
  @FunctionalInterface
  interface DelayedExecutor {
    /**
     * Runs a task later.
     *
     * @param delayMs time until the task runs, in milliseconds
     * @param task the task
     * @throws RejectedExecutionException if the executor is closed
     */
    void execute(long delayMs, Runnable task);
  }

  /** Starts the thread. */
  public ControlThread() {
    ScheduledThreadPoolExecutor thread =
        new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "control"));
    thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    executor = (delayMs, task) -> thread.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    closer = thread::shutdown;
  }

  /**
   * Creates an instance that runs its events on another executor.
   *
   * @param executor runs the events; not closed by this instance
   */
  ControlThread(DelayedExecutor executor) {
    this.executor = executor;
    this.closer = () -> {};
  }

  /**
   * Submits an event. Thread-safe; has no effect after {@link #close}.
   *
   * @param event task to run on the control thread
   */
  public void post(Runnable event) {
    schedule(0, event);
  }

  /**
   * Submits an event to run after a delay. Thread-safe; has no effect after {@link #close}.
   *
   * @param delayMs time until the event runs, in milliseconds
   * @param event task to run on the control thread
   */
  public void schedule(long delayMs, Runnable event) {
    try {
      executor.execute(delayMs, () -> runAndLogFailure(event));
    } catch (RejectedExecutionException e) {
      LOG.log(Level.DEBUG, "event=control_event_dropped reason=closed");
    }
  }

  /**
   * Passes the result of a call to a handler on the control thread. If the call completes with an
   * exception, the handler receives a failure instead.
   *
   * @param call the call
   * @param handler receives the result on the control thread
   * @param <T> type of the result's value
   */
  public <T> void onResult(CompletableFuture<Result<T>> call, Consumer<Result<T>> handler) {
    call.handle(
            (result, thrown) ->
                thrown == null
                    ? result
                    : Result.<T>failed(new NetFailure.NoAnswer("call", thrown.toString())))
        .thenAccept(result -> post(() -> handler.accept(result)));
  }

  /**
   * Runs a task whose failure must not keep the caller from going on.
   *
   * @param event the task; if it throws, the exception is logged
   */
  static void runAndLogFailure(Runnable event) {
    try {
      event.run();
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "event=control_event_failed", e);
    }
  }

  @Override
  public void close() {
    closer.run();
  }
}
