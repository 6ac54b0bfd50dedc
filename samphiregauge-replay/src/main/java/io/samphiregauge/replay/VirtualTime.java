package io.samphiregauge.replay;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in order of virtual time; equal times run in order of their scheduling. */
final class VirtualTime {
  static final long US_PER_MS = 1_000;

  private record Timed(long atUs, long number, Runnable action) {}

  private final PriorityQueue<Timed> queue =
      new PriorityQueue<>(Comparator.comparingLong(Timed::atUs).thenComparingLong(Timed::number));
  private long nowUs;
  private long number;

  long nowUs() {
    return nowUs;
  }

  long nowMs() {
    return nowUs / US_PER_MS;
  }

  void at(long atUs, Runnable action) {
    queue.add(new Timed(Math.max(nowUs, atUs), number, action));
    number++;
  }

  void after(long delayUs, Runnable action) {
    at(nowUs + delayUs, action);
  }

  /** Runs an action every interval until the end of the replay. */
  void every(long intervalUs, Runnable action) {
    after(
        intervalUs,
        () -> {
          action.run();
          every(intervalUs, action);
        });
  }

  void run(long endUs) {
    while (!queue.isEmpty() && queue.peek().atUs() <= endUs) {
      Timed next = queue.poll();
      nowUs = next.atUs();
      next.action().run();
    }
    nowUs = endUs;
  }
}
