package io.samphiregauge.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What one entry has seen of the speed of a server in the last periods. Not thread-safe.
 *
 * <p>Load pattern: one engine of many turns several times slower for seconds. An entry sends it a
 * request only every few seconds, so the entries have to learn it from each other.
 */
final class SpeedSamples {
  /** Periods that count: a second, if a period is that of the load exchange in a large group. */
  static final int PERIODS = 4;

  /** Most responses of a period, so that no entry outweighs all others. */
  static final int MAX_RESPONSES = 8;

  /** A response that took longer says no more about the server than this. */
  static final double MAX_RATIO = 8;

  private static final Sum NONE = new Sum(0, 0);

  private final Deque<Sum> periods = new ArrayDeque<>();
  private Sum current = NONE;

  /**
   * Responses and the sum of their times, each relative to what its service was expected to take.
   *
   * @param responses number of responses
   * @param slownessSum sum of the relative times
   */
  record Sum(int responses, double slownessSum) {
    Sum plus(Sum other) {
      return new Sum(responses + other.responses, slownessSum + other.slownessSum);
    }
  }

  /** Records the time of a response, relative to what its service was expected to take. */
  void record(double ratio) {
    if (current.responses() < MAX_RESPONSES) {
      current = current.plus(new Sum(1, Math.min(MAX_RATIO, ratio)));
    }
  }

  /** Ends a period and returns what was seen in the last ones. */
  Sum endPeriod() {
    periods.addLast(current);
    current = NONE;
    if (periods.size() > PERIODS) {
      periods.removeFirst();
    }
    return periods.stream().reduce(NONE, Sum::plus);
  }
}
