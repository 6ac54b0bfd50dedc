package io.samphiregauge.core.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Tells how long ago a caller made the first attempt of a request, from the time for which it still
 * waits. Any entry can do so, whichever one refused the caller before. Not thread-safe.
 */
public final class CallerAges {
  /**
   * Part of the longest wait of a kind below which a request is not the first attempt. Patience
   * differs between callers by less than this.
   */
  private static final double MAX_RETURN_SHARE = 0.75;

  private final Map<String, Long> longestMs = new HashMap<>();

  /**
   * Records a request.
   *
   * @param kind name of its kind
   * @param remainingMs time for which its caller still waits, if it tells
   * @return time since the first attempt, in milliseconds; 0 for a first attempt or if unknown
   */
  public long record(String kind, OptionalLong remainingMs) {
    if (remainingMs.isEmpty()) {
      return 0;
    }
    long longest = longestMs.merge(kind, remainingMs.getAsLong(), Math::max);
    long ageMs = longest - remainingMs.getAsLong();
    return remainingMs.getAsLong() < MAX_RETURN_SHARE * longest ? ageMs : 0;
  }
}
