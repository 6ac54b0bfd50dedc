package io.samphiregauge.standins;

/** Runs tasks after a delay on the event loop that owns a stand-in's state. */
@FunctionalInterface
interface DelayedExecutor {
  void executeAfterUs(long delayUs, Runnable task);
}
