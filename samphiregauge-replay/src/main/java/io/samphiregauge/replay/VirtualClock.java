package io.samphiregauge.replay;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock that runs scheduled actions. Actions run in order of time, and those of equal time
 * in the order in which they were scheduled. Single-threaded; it never sleeps.
 */
final class VirtualClock {
  static final long US_PER_MS = 1_000;

  private record ScheduledAction(long atUs, long sequence, Runnable action) {}

  private final PriorityQueue<ScheduledAction> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::atUs)
              .thenComparingLong(ScheduledAction::sequence));
  private long nowUs;
  private long nextSequence;

  /** Returns the virtual time in microseconds. */
  long nowUs() {
    return nowUs;
  }

  /** Returns the virtual time in milliseconds, rounded down. */
  long nowMs() {
    return nowUs / US_PER_MS;
  }

  /** Schedules an action; a time in the past means now. */
  void scheduleAt(long atUs, Runnable action) {
    queue.add(new ScheduledAction(Math.max(nowUs, atUs), nextSequence, action));
    nextSequence++;
  }

  /** Schedules an action after a delay. */
  void scheduleAfter(long delayUs, Runnable action) {
    scheduleAt(nowUs + delayUs, action);
  }

  /** Schedules an action at each interval, without end; the first run is after one interval. */
  void scheduleEvery(long intervalUs, Runnable action) {
    scheduleAfter(
        intervalUs,
        () -> {
          action.run();
          scheduleEvery(intervalUs, action);
        });
  }

  /** Runs the actions up to a time, inclusive, and sets the clock to it. */
  void runUntil(long endUs) {
    while (!queue.isEmpty() && queue.peek().atUs() <= endUs) {
      ScheduledAction scheduled = queue.poll();
      nowUs = scheduled.atUs();
      scheduled.action().run();
    }
    nowUs = endUs;
  }
}
