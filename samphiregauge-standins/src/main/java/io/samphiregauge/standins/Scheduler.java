package io.samphiregauge.standins;

/** Runs tasks on the owner of a stand-in's state after a delay. */
@FunctionalInterface
interface Scheduler {
  void after(long delayUs, Runnable task);
}
