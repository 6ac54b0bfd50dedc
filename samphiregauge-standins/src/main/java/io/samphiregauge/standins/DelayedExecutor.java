package io.samphiregauge.standins;

/** Runs tasks on the owner of a stand-in's state after a delay. */
@FunctionalInterface
interface DelayedExecutor {
  void executeAfterUs(long delayUs, Runnable task);
}
