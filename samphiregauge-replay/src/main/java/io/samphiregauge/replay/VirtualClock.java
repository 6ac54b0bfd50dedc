package io.samphiregauge.replay;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in order of virtual time; equal times run in order of their scheduling. */
final class VirtualClock {
  static final long US_PER_MS = 1_000;

  private record ScheduledAction(long atUs, long sequence, Runnable action) {}

  private final PriorityQueue<ScheduledAction> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::atUs)
              .thenComparingLong(ScheduledAction::sequence));
  private long nowUs;
  private long nextSequence;

  long nowUs() {
    return nowUs;
  }

  long nowMs() {
    return nowUs / US_PER_MS;
  }

  void scheduleAt(long atUs, Runnable action) {
    queue.add(new ScheduledAction(Math.max(nowUs, atUs), nextSequence, action));
    nextSequence++;
  }

  void scheduleAfter(long delayUs, Runnable action) {
    scheduleAt(nowUs + delayUs, action);
  }

  /** Runs an action every interval until the end of the replay. */
  void scheduleEvery(long intervalUs, Runnable action) {
    scheduleAfter(
        intervalUs,
        () -> {
          action.run();
          scheduleEvery(intervalUs, action);
        });
  }

  void runUntil(long endUs) {
    while (!queue.isEmpty() && queue.peek().atUs() <= endUs) {
      ScheduledAction scheduled = queue.poll();
      nowUs = scheduled.atUs();
      scheduled.action().run();
    }
    nowUs = endUs;
  }
}
