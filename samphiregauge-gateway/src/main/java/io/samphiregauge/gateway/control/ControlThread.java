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

/** The one thread that owns all control state. Others hand it events; it blocks while idle. */
public final class ControlThread implements AutoCloseable {
  private static final Logger LOG = System.getLogger(ControlThread.class.getName());

  private final ScheduledThreadPoolExecutor executor;

  /** Starts the thread. */
  public ControlThread() {
    executor = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "control"));
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  /**
   * Hands over an event; safe for all threads.
   *
   * @param event runs on the control thread
   */
  public void post(Runnable event) {
    schedule(0, event);
  }

  /**
   * Hands over an event that is due later; safe for all threads.
   *
   * @param delayMs time until it is due, in milliseconds
   * @param event runs on the control thread
   */
  public void schedule(long delayMs, Runnable event) {
    try {
      executor.schedule(() -> runAndLogFailure(event), delayMs, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      LOG.log(Level.DEBUG, "event=control_event_dropped reason=closed");
    }
  }

  /**
   * Hands the result of a call to the control thread.
   *
   * @param call the call
   * @param handler takes its result on the control thread
   * @param <T> type of the value
   */
  public <T> void onResult(CompletableFuture<Result<T>> call, Consumer<Result<T>> handler) {
    call.handle(
            (result, thrown) ->
                thrown == null
                    ? result
                    : Result.<T>failed(new NetFailure.NoAnswer("call", thrown.toString())))
        .thenAccept(result -> post(() -> handler.accept(result)));
  }

  /** An event that fails must not end the thread's later events. */
  private static void runAndLogFailure(Runnable event) {
    try {
      event.run();
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "event=control_event_failed", e);
    }
  }

  @Override
  public void close() {
    executor.shutdown();
  }
}
