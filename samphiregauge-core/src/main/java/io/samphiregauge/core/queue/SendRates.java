package io.samphiregauge.core.queue;

import java.util.Arrays;
import java.util.OptionalDouble;

/**
 * The rates at which requests for a service arrive at this entry and are sent, over the last two
 * seconds. While the service is full, the rate of sends is this entry's share of the room. Not
 * thread-safe.
 */
final class SendRates {
  private static final long SLICE_MS = 100;
  private static final int SLICES = 20;
  private static final int RANKS = 10;

  /** Time for which sends have to be observed before a forecast is based on them. */
  private static final long MIN_OBSERVED_MS = 500;

  /** Weight of the newest request in the parts by rank; they follow the last 50 requests. */
  private static final double RANK_WEIGHT = 0.02;

  /** Part of the sends that is assumed for the least urgent requests at least. */
  private static final double MIN_RANK_SHARE = 0.05;

  /** Mean intervals between two sends that pass without one by chance in 1 of 20 cases. */
  private static final double MAX_INTERVALS_WITHOUT_SEND = 3;

  private final long[] sent = new long[SLICES];
  private final long[][] arrived = new long[RANKS][SLICES];
  private final double[] rankShares = new double[RANKS];
  private long observedSinceMs;
  private long lastSentMs;
  private long slice;

  /**
   * Creates rates without observations.
   *
   * @param nowMs monotonic time in milliseconds
   */
  SendRates(long nowMs) {
    restart(nowMs);
  }

  /** Forgets the rate, after a time in which this process did not run. */
  void restart(long nowMs) {
    Arrays.fill(sent, 0);
    for (long[] ofRank : arrived) {
      Arrays.fill(ofRank, 0);
    }
    observedSinceMs = nowMs;
    lastSentMs = nowMs;
    slice = Math.floorDiv(nowMs, SLICE_MS);
  }

  /**
   * Records that requests begin to wait: until now, no sends did not mean that there is no room.
   */
  void recordWaitBegun(long nowMs) {
    lastSentMs = Math.max(lastSentMs, nowMs);
  }

  void recordArrived(int rank, long nowMs) {
    advance(nowMs);
    arrived[rank][index(slice)]++;
  }

  void recordSent(int rank, long nowMs) {
    advance(nowMs);
    sent[index(slice)]++;
    lastSentMs = nowMs;
    for (int other = 0; other < RANKS; other++) {
      rankShares[other] += RANK_WEIGHT * ((other == rank ? 1 : 0) - rankShares[other]);
    }
  }

  /**
   * Returns the rate at which requests of a rank are sent while all more urgent ones go first.
   *
   * @param rank the rank, from 0 to 9
   * @param nowMs monotonic time in milliseconds
   * @return requests per millisecond, or empty if the time of observation is too short
   */
  OptionalDouble perMs(int rank, long nowMs) {
    long observedMs = observedMs(nowMs);
    if (observedMs < MIN_OBSERVED_MS) {
      return OptionalDouble.empty();
    }
    long sends = Arrays.stream(sent).sum();
    if (sends == 0 && nowMs - lastSentMs < MIN_OBSERVED_MS) {
      return OptionalDouble.empty();
    }
    double total = (double) Math.max(1, sends) / observedMs;
    // A longer pause than usual shows earlier than the rate of two seconds that places are gone.
    total =
        Math.min(total, MAX_INTERVALS_WITHOUT_SEND / Math.max(1.0, (double) nowMs - lastSentMs));
    double moreUrgent = Arrays.stream(rankShares).limit(rank).sum();
    return OptionalDouble.of(total * Math.max(MIN_RANK_SHARE, 1 - moreUrgent));
  }

  /** Returns the rate at which requests of a rank arrive, per millisecond. */
  double arrivalsPerMs(int rank, long nowMs) {
    long observedMs = observedMs(nowMs);
    return observedMs == 0 ? 0 : (double) Arrays.stream(arrived[rank]).sum() / observedMs;
  }

  private long observedMs(long nowMs) {
    advance(nowMs);
    return Math.min(nowMs - observedSinceMs, SLICE_MS * SLICES);
  }

  private void advance(long nowMs) {
    long current = Math.floorDiv(nowMs, SLICE_MS);
    for (long next = Math.max(slice + 1, current - SLICES + 1); next <= current; next++) {
      sent[index(next)] = 0;
      for (long[] ofRank : arrived) {
        ofRank[index(next)] = 0;
      }
    }
    slice = Math.max(slice, current);
  }

  private static int index(long number) {
    return (int) Math.floorMod(number, (long) SLICES);
  }
}
