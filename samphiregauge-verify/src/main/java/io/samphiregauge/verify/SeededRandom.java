package io.samphiregauge.verify;

import io.samphiregauge.core.RandomSource;
import java.util.List;

/** A deterministic source of random numbers (SplitMix64). */
final class SeededRandom implements RandomSource {
  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  private long state;

  SeededRandom(long seed) {
    this.state = seed;
  }

  @Override
  public long nextLong() {
    state += GOLDEN_GAMMA;
    long z = (state ^ (state >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }

  /** Returns a random number between {@code low} and {@code high}, both inclusive. */
  long between(long low, long high) {
    return low + Long.remainderUnsigned(nextLong(), high - low + 1);
  }

  /** Returns true with the given probability, between 0 and 1. */
  boolean chance(double probability) {
    return nextDouble() < probability;
  }

  /** Returns a random element of a list that is not empty. */
  <T> T pick(List<T> items) {
    return items.get(nextIndex(items.size()));
  }
}
