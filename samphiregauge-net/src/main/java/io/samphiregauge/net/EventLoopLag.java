package io.samphiregauge.net;

import io.netty.channel.EventLoop;
import io.samphiregauge.core.Clock;
import java.util.concurrent.TimeUnit;

/**
 * Measures for how long an event loop has not looked at its sockets, from a periodic task. On a
 * slow VM, one pass over the events can take more than a second; what arrives meanwhile lies
 * unread. Confined to the event loop, apart from {@link #start}.
 */
final class EventLoopLag {
  private static final long PERIOD_MS = 100;

  /** Time since the task was last due that is usual for an event loop without lag. */
  private static final long USUAL_MS = 2 * PERIOD_MS;

  private final Clock clock;
  private long lastDueMs;
  private long nextDueMs;
  private long runs;

  EventLoopLag(Clock clock) {
    this.clock = clock;
    this.lastDueMs = clock.nowMs();
    this.nextDueMs = lastDueMs + PERIOD_MS;
  }

  /** Starts to measure the lag of an event loop, until it shuts down. */
  static EventLoopLag start(EventLoop loop, Clock clock) {
    EventLoopLag lag = new EventLoopLag(clock);
    loop.scheduleWithFixedDelay(lag::recordRun, PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS);
    return lag;
  }

  /**
   * Records a run of the periodic task. What counts is when it was due: if it runs late, the event
   * loop was busy with other tasks until now, and has not looked at its sockets since.
   */
  void recordRun() {
    lastDueMs = nextDueMs;
    nextDueMs = clock.nowMs() + PERIOD_MS;
    runs++;
  }

  /** Returns the number of runs of the periodic task so far; the sockets are read between two. */
  long runs() {
    return runs;
  }

  /** Returns for how long bytes that are read now may have lain in their socket, at most. */
  long unreadMs() {
    long sinceLastDueMs = clock.nowMs() - lastDueMs;
    return sinceLastDueMs <= USUAL_MS ? 0 : sinceLastDueMs;
  }
}
